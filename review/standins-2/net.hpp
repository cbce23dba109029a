#pragma once

// Blocking sockets and just enough of HTTP/1.1 for stand-ins: one thread for
// each connection.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline auto to_seconds(steady::duration it) -> double
{
    return std::chrono::duration<double>(it).count();
}

struct address
{
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] auto text() const -> std::string
    {
        return ip + ':' + std::to_string(port);
    }
};

inline auto to_sockaddr(address const& it) -> sockaddr_in
{
    auto out = sockaddr_in{};
    out.sin_family = AF_INET;
    out.sin_port = htons(it.port);
    inet_pton(AF_INET, it.ip.c_str(), &out.sin_addr);
    return out;
}

struct header
{
    std::string name;
    std::string value;
};

inline auto same_name(std::string_view a, std::string_view b) -> bool
{
    if (a.size() != b.size())
    {
        return false;
    }
    for (auto i = std::size_t{0}; i < a.size(); ++i)
    {
        if (std::tolower(static_cast<unsigned char>(a[i])) !=
            std::tolower(static_cast<unsigned char>(b[i])))
        {
            return false;
        }
    }
    return true;
}

struct message
{
    std::string method;
    std::string target;
    int status = 0;
    std::vector<header> headers;
    std::string body;
    /// A response: it ended as its framing says.
    bool whole = false;

    [[nodiscard]] auto get(std::string_view name) const
        -> std::optional<std::string>
    {
        for (auto const& it : headers)
        {
            if (same_name(it.name, name))
            {
                return it.value;
            }
        }
        return std::nullopt;
    }
};

/// A connected socket with what was read ahead.
class connection
{
public:
    explicit connection(int fd) : fd_(fd) {}
    connection(connection const&) = delete;
    auto operator=(connection const&) -> connection& = delete;

    ~connection()
    {
        close();
    }

    void close()
    {
        if (fd_ >= 0)
        {
            ::close(std::exchange(fd_, -1));
        }
    }

    /// The end is a reset.
    void reset()
    {
        auto const it = linger{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &it, sizeof it);
        close();
    }

    [[nodiscard]] auto fd() const -> int
    {
        return fd_;
    }

    auto write(std::string_view bytes) -> bool
    {
        while (!bytes.empty())
        {
            auto const n =
                ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0)
            {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    /// Whether the other end has closed or reset the connection.
    [[nodiscard]] auto gone() const -> bool
    {
        auto it = pollfd{fd_, POLLIN, 0};
        if (::poll(&it, 1, 0) <= 0)
        {
            return false;
        }
        auto byte = '\0';
        auto const n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN);
    }

    auto read_request(message& out) -> bool
    {
        auto lines = std::vector<std::string>{};
        if (!read_head(lines))
        {
            return false;
        }
        auto const& first = lines.front();
        auto const a = first.find(' ');
        auto const b = first.rfind(' ');
        if (a == std::string::npos || b <= a)
        {
            return false;
        }
        out.method = first.substr(0, a);
        out.target = first.substr(a + 1, b - a - 1);
        return read_rest(lines, out, false);
    }

    /// Returns whether there was a head.
    auto read_response(message& out) -> bool
    {
        auto lines = std::vector<std::string>{};
        do
        {
            lines.clear();
            if (!read_head(lines) || lines.front().size() < 12)
            {
                return false;
            }
            out.status = std::atoi(lines.front().c_str() + 9);
        } while (out.status < 200);
        out.whole = read_rest(lines, out, true);
        return true;
    }

    /// Time at which a response's head was complete.
    [[nodiscard]] auto head_at() const -> steady::time_point
    {
        return head_at_;
    }

    void set_timeout(ms it) const
    {
        auto const tv = timeval{it.count() / 1000,
                                static_cast<suseconds_t>(it.count() % 1000) *
                                    1000};
        ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof tv);
        ::setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof tv);
    }

private:
    auto fill() -> bool
    {
        char bytes[16384];
        auto const n = ::recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0)
        {
            return false;
        }
        in_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    auto read_line(std::string& out) -> bool
    {
        for (;;)
        {
            auto const end = in_.find("\r\n");
            if (end != std::string::npos)
            {
                out = in_.substr(0, end);
                in_.erase(0, end + 2);
                return true;
            }
            if (!fill())
            {
                return false;
            }
        }
    }

    auto read_head(std::vector<std::string>& out) -> bool
    {
        auto line = std::string{};
        while (read_line(line))
        {
            if (line.empty())
            {
                head_at_ = steady::now();
                return !out.empty();
            }
            out.push_back(line);
        }
        return false;
    }

    auto take(std::size_t n, std::string& out) -> bool
    {
        while (in_.size() < n)
        {
            if (!fill())
            {
                return false;
            }
        }
        out.append(in_, 0, n);
        in_.erase(0, n);
        return true;
    }

    auto read_rest(std::vector<std::string> const& lines, message& out,
                   bool response) -> bool
    {
        for (auto i = std::size_t{1}; i < lines.size(); ++i)
        {
            auto const colon = lines[i].find(':');
            if (colon == std::string::npos)
            {
                return false;
            }
            auto value = lines[i].substr(colon + 1);
            value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
            out.headers.push_back({lines[i].substr(0, colon), value});
        }
        auto const coding = out.get("Transfer-Encoding");
        if (coding && same_name(*coding, "chunked"))
        {
            for (;;)
            {
                auto line = std::string{};
                if (!read_line(line))
                {
                    return false;
                }
                auto const n = std::strtoul(line.c_str(), nullptr, 16);
                if (n == 0)
                {
                    while (read_line(line))
                    {
                        if (line.empty())
                        {
                            return true;
                        }
                    }
                    return false;
                }
                if (!take(n, out.body) || !read_line(line))
                {
                    return false;
                }
            }
        }
        if (auto const length = out.get("Content-Length"))
        {
            return take(std::strtoul(length->c_str(), nullptr, 10), out.body);
        }
        if (response && out.status != 204 && out.status != 304)
        {
            while (fill())
            {
            }
            out.body += std::exchange(in_, {});
        }
        return true;
    }

    int fd_;
    std::string in_;
    steady::time_point head_at_{};
};

inline auto connect_to(address const& to, std::string const& from = {})
    -> std::unique_ptr<connection>
{
    auto const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0)
    {
        return nullptr;
    }
    if (!from.empty())
    {
        auto const own = to_sockaddr({from, 0});
        ::bind(fd, reinterpret_cast<sockaddr const*>(&own), sizeof own);
    }
    auto const it = to_sockaddr(to);
    if (::connect(fd, reinterpret_cast<sockaddr const*>(&it), sizeof it) != 0)
    {
        ::close(fd);
        return nullptr;
    }
    auto const on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_unique<connection>(fd);
}

/// Accepts connections and gives each to `serve` on a thread of its own.
class listener
{
public:
    using handler = std::function<void(connection&)>;

    listener(std::string const& ip, handler serve) : serve_(std::move(serve))
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto const on = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto it = to_sockaddr({ip, 0});
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&it), sizeof it) != 0 ||
            ::listen(fd_, 512) != 0)
        {
            throw std::runtime_error("cannot listen on " + ip);
        }
        auto n = socklen_t{sizeof it};
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&it), &n);
        at_ = {ip, ntohs(it.sin_port)};
        accepting_ = std::thread{[this] { accept_all(); }};
    }

    listener(listener const&) = delete;
    auto operator=(listener const&) -> listener& = delete;

    ~listener()
    {
        stop();
    }

    /// Closes the listener and ends all connections, as an exit does.
    void stop()
    {
        if (stopped_.exchange(true))
        {
            return;
        }
        ::shutdown(fd_, SHUT_RDWR);
        accepting_.join();
        ::close(fd_);
        {
            auto const lock = std::lock_guard{mutex_};
            for (auto const fd : open_)
            {
                ::shutdown(fd, SHUT_RDWR);
            }
        }
        for (auto& it : threads_)
        {
            it.join();
        }
    }

    /// New connections are refused from now on.
    void refuse() const
    {
        ::shutdown(fd_, SHUT_RDWR);
    }

    [[nodiscard]] auto at() const -> address const&
    {
        return at_;
    }

    [[nodiscard]] auto stopped() const -> bool
    {
        return stopped_;
    }

private:
    void accept_all()
    {
        for (;;)
        {
            auto const fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (stopped_ || fd < 0)
            {
                if (fd >= 0)
                {
                    ::close(fd);
                }
                if (stopped_ || errno == EINVAL)
                {
                    return;
                }
                continue;
            }
            auto const on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            auto const lock = std::lock_guard{mutex_};
            open_.insert(fd);
            threads_.emplace_back(
                [this, fd]
                {
                    auto it = connection{fd};
                    serve_(it);
                    auto const held = std::lock_guard{mutex_};
                    open_.erase(fd);
                    it.close();
                });
        }
    }

    handler serve_;
    int fd_ = -1;
    address at_;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::set<int> open_;
    std::list<std::thread> threads_;
    std::thread accepting_;
};

/// A free port of `ip` for TCP and UDP.
inline auto free_port(std::string const& ip) -> std::uint16_t
{
    for (auto i = 0; i < 100; ++i)
    {
        auto const tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto const udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        auto it = to_sockaddr({ip, 0});
        auto n = socklen_t{sizeof it};
        auto const bound =
            ::bind(tcp, reinterpret_cast<sockaddr*>(&it), sizeof it) == 0 &&
            ::getsockname(tcp, reinterpret_cast<sockaddr*>(&it), &n) == 0 &&
            ::bind(udp, reinterpret_cast<sockaddr*>(&it), sizeof it) == 0;
        ::close(tcp);
        ::close(udp);
        if (bound)
        {
            return ntohs(it.sin_port);
        }
    }
    throw std::runtime_error("no free port on " + ip);
}

} // namespace review
