// A small blocking HTTP/1.1 server and client for the review's stand-ins:
// one thread a connection, bodies with a length.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

using steady = std::chrono::steady_clock;

inline auto lower(std::string it) -> std::string
{
    std::transform(it.begin(), it.end(), it.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return it;
}

struct message
{
    // First line in three words: method, target, version; or version, status,
    // reason.
    std::string first, second, third;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    auto header(std::string const& name) const -> std::string
    {
        auto const it = headers.find(lower(name));
        return it == headers.end() ? std::string{} : it->second;
    }
};

inline auto address_of(std::string const& ip, int port) -> sockaddr_in
{
    auto out = sockaddr_in{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, ip.c_str(), &out.sin_addr) != 1 ||
        ip.rfind("127.", 0) != 0)
    {
        throw std::runtime_error("not a loopback address: " + ip);
    }
    return out;
}

/// Reads from a socket with a time limit for each wait.
class reader
{
public:
    reader(int fd, int wait_ms) : fd_(fd), wait_ms_(wait_ms) {}

    /// Whether more bytes came.
    auto more() -> bool
    {
        auto p = pollfd{fd_, POLLIN, 0};
        if (poll(&p, 1, wait_ms_) <= 0)
        {
            return false;
        }
        char bytes[16384];
        auto const n = ::recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0)
        {
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    auto read_head() -> std::optional<message>
    {
        auto end = buffer_.find("\r\n\r\n");
        while (end == std::string::npos)
        {
            if (!more())
            {
                return std::nullopt;
            }
            end = buffer_.find("\r\n\r\n");
        }
        auto out = message{};
        auto head = buffer_.substr(0, end + 2);
        buffer_.erase(0, end + 4);
        auto line_end = head.find("\r\n");
        auto const line = head.substr(0, line_end);
        auto const a = line.find(' ');
        auto const b = line.find(' ', a + 1);
        out.first = line.substr(0, a);
        out.second = line.substr(a + 1, b - a - 1);
        out.third = b == std::string::npos ? "" : line.substr(b + 1);
        auto at = line_end + 2;
        while (at < head.size())
        {
            line_end = head.find("\r\n", at);
            auto const field = head.substr(at, line_end - at);
            auto const colon = field.find(':');
            auto value = field.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            out.headers[lower(field.substr(0, colon))] = value;
            at = line_end + 2;
        }
        return out;
    }

    auto take(std::size_t n) -> std::optional<std::string>
    {
        while (buffer_.size() < n)
        {
            if (!more())
            {
                return std::nullopt;
            }
        }
        auto out = buffer_.substr(0, n);
        buffer_.erase(0, n);
        return out;
    }

    auto take_line() -> std::optional<std::string>
    {
        auto end = buffer_.find("\r\n");
        while (end == std::string::npos)
        {
            if (!more())
            {
                return std::nullopt;
            }
            end = buffer_.find("\r\n");
        }
        auto out = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return out;
    }

private:
    int fd_;
    int wait_ms_;
    std::string buffer_;
};

inline auto send_all(int fd, std::string const& bytes) -> bool
{
    auto at = std::size_t{0};
    while (at < bytes.size())
    {
        auto const n =
            ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (n <= 0)
        {
            return false;
        }
        at += static_cast<std::size_t>(n);
    }
    return true;
}

/// Whether the peer has closed its side or reset the connection.
inline auto peer_gone(int fd) -> bool
{
    char c = 0;
    auto const n = ::recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Closes so that the peer gets a reset.
inline void reset(int fd)
{
    auto const now = linger{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

/// One request a connection; the handler answers on the socket itself.
class server
{
public:
    using handler = std::function<void(int fd, message const&)>;

    /// `port` 0: a free one.
    server(std::string ip, handler work, int port = 0)
        : ip_(std::move(ip)), work_(std::move(work))
    {
        listen_on(port);
    }

    ~server()
    {
        stop();
        // Handlers end by themselves; wait so that they use nothing freed.
        for (auto i = 0; i < 3000 && open_ > 0; ++i)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
    }

    auto port() const -> int { return port_; }
    auto ip() const -> std::string { return ip_; }
    auto endpoint() const -> std::string
    {
        return ip_ + ':' + std::to_string(port_);
    }

    /// Takes no connections any more and resets those that are open.
    void stop()
    {
        stopping_ = true;
        if (acceptor_.joinable())
        {
            acceptor_.join();
        }
        auto const lock = std::lock_guard{mutex_};
        for (auto const fd : fds_)
        {
            reset(fd);
            ::shutdown(fd, SHUT_RDWR);
        }
    }

    auto stopping() const -> bool { return stopping_; }

private:
    void listen_on(int port)
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto const on = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto at = address_of(ip_, port);
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
            ::listen(fd_, 512) != 0)
        {
            throw std::runtime_error("cannot listen on " + ip_);
        }
        auto n = socklen_t{sizeof at};
        getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &n);
        port_ = ntohs(at.sin_port);
        acceptor_ = std::thread{[this] { accept_all(); }};
    }

    void accept_all()
    {
        while (!stopping_)
        {
            auto p = pollfd{fd_, POLLIN, 0};
            if (poll(&p, 1, 20) <= 0)
            {
                continue;
            }
            auto const fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
            {
                continue;
            }
            auto const on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            ++open_;
            {
                auto const lock = std::lock_guard{mutex_};
                fds_.insert(fd);
            }
            std::thread{[this, fd] { serve(fd); }}.detach();
        }
        ::close(fd_);
    }

    void serve(int fd)
    {
        auto in = reader{fd, 40000};
        auto head = in.read_head();
        if (head)
        {
            auto const n = head->header("content-length");
            auto body = in.take(n.empty() ? 0 : std::stoul(n));
            if (body)
            {
                head->body = *body;
                work_(fd, *head);
            }
        }
        {
            auto const lock = std::lock_guard{mutex_};
            fds_.erase(fd);
        }
        ::close(fd);
        --open_;
    }

    std::string ip_;
    handler work_;
    int fd_ = -1;
    int port_ = 0;
    std::atomic<bool> stopping_{false};
    std::atomic<int> open_{0};
    std::mutex mutex_;
    std::set<int> fds_;
    std::thread acceptor_;
};

struct answer
{
    /// 0: no connection; -1: no whole answer.
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    bool complete = false;
};

/// A client connection that is kept for several requests.
class connection
{
public:
    connection(std::string const& ip, int port, std::string const& from = {})
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (!from.empty())
        {
            auto own = address_of(from, 0);
            ::bind(fd_, reinterpret_cast<sockaddr*>(&own), sizeof own);
        }
        auto to = address_of(ip, port);
        auto const on = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        connected_ =
            ::connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
    }
    connection(connection const&) = delete;
    auto operator=(connection const&) -> connection& = delete;
    ~connection() { ::close(fd_); }

    auto connected() const -> bool { return connected_; }
    auto fd() const -> int { return fd_; }

    auto ask(std::string const& bytes, int wait_ms,
             std::function<void(std::string const&)> const& on_body = {})
        -> answer
    {
        auto out = answer{};
        if (!connected_)
        {
            return out;
        }
        out.status = -1;
        if (!send_all(fd_, bytes))
        {
            return out;
        }
        auto in = reader{fd_, wait_ms};
        auto const head = in.read_head();
        if (!head)
        {
            return out;
        }
        out.status = std::atoi(head->second.c_str());
        out.headers = head->headers;
        if (head->header("transfer-encoding") == "chunked")
        {
            while (auto const line = in.take_line())
            {
                auto const n = std::stoul(*line, nullptr, 16);
                auto const chunk = in.take(n + 2);
                if (!chunk)
                {
                    return out;
                }
                if (n == 0)
                {
                    out.complete = true;
                    return out;
                }
                out.body += chunk->substr(0, n);
                if (on_body)
                {
                    on_body(chunk->substr(0, n));
                }
            }
            return out;
        }
        auto const length = head->header("content-length");
        auto const body = in.take(length.empty() ? 0 : std::stoul(length));
        if (body)
        {
            out.body = *body;
            out.complete = true;
        }
        return out;
    }

private:
    int fd_ = -1;
    bool connected_ = false;
};

inline auto ask_once(std::string const& ip, int port, std::string const& bytes,
                     int wait_ms) -> answer
{
    auto it = connection{ip, port};
    return it.ask(bytes, wait_ms);
}

} // namespace review
