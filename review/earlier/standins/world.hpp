// Stand-ins of the users' platform as its pages describe it: the store, sound
// replicas, the operator's and the replicas' writes, and gateways as processes.
#pragma once

#include "http.hpp"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <array>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>

extern char** environ;

namespace review
{

using json = nlohmann::json;
using std::chrono::milliseconds;

inline auto unix_ms() -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void pause_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(milliseconds{ms});
}

/// What was sent, answered and run, line by line with the time in seconds.
class record
{
public:
    explicit record(std::string const& file) : out_(std::fopen(file.c_str(), "w"))
    {
        if (out_ == nullptr)
        {
            throw std::runtime_error("cannot write " + file);
        }
    }
    ~record() { std::fclose(out_); }

    auto seconds() const -> double
    {
        return std::chrono::duration<double>(steady::now() - start_).count();
    }

    void line(std::string const& text)
    {
        auto const lock = std::lock_guard{mutex_};
        std::fprintf(out_, "%8.3f %s\n", seconds(), text.c_str());
        std::fflush(out_);
    }

private:
    std::FILE* out_;
    std::mutex mutex_;
    steady::time_point start_ = steady::now();
};

inline auto base64(std::string const& bytes) -> std::string
{
    static constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    auto out = std::string{};
    for (auto i = std::size_t{0}; i < bytes.size(); i += 3)
    {
        auto const n = std::min<std::size_t>(3, bytes.size() - i);
        auto word = 0U;
        for (auto j = std::size_t{0}; j < 3; ++j)
        {
            word = word << 8U |
                   (j < n ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (auto j = std::size_t{0}; j < 4; ++j)
        {
            out += j <= n ? digits[word >> (18U - 6U * j) & 63U] : '=';
        }
    }
    return out;
}

inline auto unbase64(std::string const& text) -> std::string
{
    auto const value = [](char c) -> int
    {
        return c >= 'A' && c <= 'Z'   ? c - 'A'
               : c >= 'a' && c <= 'z' ? c - 'a' + 26
               : c >= '0' && c <= '9' ? c - '0' + 52
               : c == '+'             ? 62
               : c == '/'             ? 63
                                      : -1;
    };
    auto out = std::string{};
    auto word = 0U;
    auto bits = 0;
    for (auto const c : text)
    {
        if (value(c) < 0)
        {
            break;
        }
        word = word << 6U | static_cast<unsigned>(value(c));
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            out += static_cast<char>(word >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return out;
}

inline auto query_of(std::string const& target, std::string const& name)
    -> std::string
{
    auto at = target.find('?');
    while (at != std::string::npos)
    {
        auto const end = target.find('&', at + 1);
        auto const field = target.substr(
            at + 1, end == std::string::npos ? end : end - at - 1);
        if (field.rfind(name + '=', 0) == 0)
        {
            auto out = std::string{};
            auto const raw = field.substr(name.size() + 1);
            for (auto i = std::size_t{0}; i < raw.size(); ++i)
            {
                if (raw[i] == '%' && i + 2 < raw.size())
                {
                    out += static_cast<char>(
                        std::stoi(raw.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                }
                else
                {
                    out += raw[i];
                }
            }
            return out;
        }
        at = end;
    }
    return {};
}

/// The platform's metadata store, PROTOCOL.md: a revision counter, items,
/// ranges, watches, transactions. Every answer names its `Store-Era`.
class store
{
public:
    explicit store(std::string const& ip)
        : server_(ip, [this](int fd, message const& it) { serve(fd, it); })
    {
    }

    auto endpoint() const -> std::string { return server_.endpoint(); }

    /// As the operator and the replicas write; returns the revision that
    /// acknowledges it.
    auto put(std::string const& key, std::string const& value) -> std::int64_t
    {
        auto const lock = std::lock_guard{mutex_};
        return put_locked(key, value);
    }

    auto remove(std::string const& key) -> std::int64_t
    {
        auto const lock = std::lock_guard{mutex_};
        if (items_.erase(key) > 0)
        {
            history_.push_back(
                {{"key", key}, {"revision", ++revision_}, {"removed", true}});
            changed_.notify_all();
        }
        return revision_;
    }

    auto revision() const -> std::int64_t
    {
        auto const lock = std::lock_guard{mutex_};
        return revision_;
    }

    /// While it is away it refuses every call.
    void set_away(bool away)
    {
        auto const lock = std::lock_guard{mutex_};
        away_ = away;
        changed_.notify_all();
    }

    void keep_copy()
    {
        auto const lock = std::lock_guard{mutex_};
        copy_ = std::pair{items_, revision_};
    }

    /// Comes back from the copy: NEWS.md, the drill.
    void restore_copy()
    {
        auto const lock = std::lock_guard{mutex_};
        items_ = copy_.first;
        revision_ = copy_.second;
        history_.clear();
        history_starts_ = revision_;
        ++era_;
        changed_.notify_all();
    }

    auto calls() const -> long { return calls_; }

    auto value(std::string const& key) const -> std::string
    {
        auto const lock = std::lock_guard{mutex_};
        auto const it = items_.find(key);
        return it == items_.end()
                   ? ""
                   : unbase64(it->second.at("value").get<std::string>());
    }

private:
    auto put_locked(std::string const& key, std::string const& value,
                    std::int64_t lease = 0) -> std::int64_t
    {
        auto const found = items_.find(key);
        ++revision_;
        auto const created = found == items_.end()
                                 ? revision_
                                 : found->second.at("created").get<std::int64_t>();
        items_[key] = {{"key", key},         {"value", base64(value)},
                       {"revision", revision_}, {"created", created},
                       {"lease", lease}};
        history_.push_back(items_[key]);
        changed_.notify_all();
        return revision_;
    }

    void reply(int fd, int status, json const& body) const
    {
        auto const text = body.is_null() ? std::string{} : body.dump();
        send_all(fd, "HTTP/1.1 " + std::to_string(status) +
                         " x\r\nContent-Type: application/json\r\nStore-Era: " +
                         std::to_string(era_) + "\r\nContent-Length: " +
                         std::to_string(text.size()) +
                         "\r\nConnection: close\r\n\r\n" + text);
    }

    void serve(int fd, message const& it)
    {
        ++calls_;
        pause_ms(4); // an answer takes 4 ms
        auto lock = std::unique_lock{mutex_};
        auto const path = it.second.substr(0, it.second.find('?'));
        if (away_)
        {
            reply(fd, 503, nullptr);
        }
        else if (path == "/-/kv-key")
        {
            auto const found = items_.find(query_of(it.second, "key"));
            if (found == items_.end())
            {
                reply(fd, 404, nullptr);
                return;
            }
            auto item = found->second;
            item["asOf"] = revision_;
            reply(fd, 200, item);
        }
        else if (path == "/-/kv-range")
        {
            range(fd, it);
        }
        else if (path == "/-/kv-watch")
        {
            watch(fd, it, lock);
        }
        else if (path == "/-/kv-txn")
        {
            transact(fd, json::parse(it.body));
        }
        else
        {
            reply(fd, 404, nullptr);
        }
    }

    void range(int fd, message const& it)
    {
        constexpr auto page = 500;
        auto const prefix = query_of(it.second, "pathPrefix");
        auto const after = query_of(it.second, "after");
        auto entries = json::array();
        auto more = false;
        for (auto const& [key, item] : items_)
        {
            if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after))
            {
                continue;
            }
            if (entries.size() == page)
            {
                more = true;
                break;
            }
            entries.push_back(item);
        }
        reply(fd, 200,
              {{"entries", entries}, {"hasMore", more}, {"asOf", revision_}});
    }

    void watch(int fd, message const& it, std::unique_lock<std::mutex>& lock)
    {
        auto const prefix = query_of(it.second, "pathPrefix");
        auto const after = std::atoll(query_of(it.second, "after").c_str());
        auto const wait = std::atoll(query_of(it.second, "waitMs").c_str());
        auto const until = steady::now() + milliseconds{wait};
        auto const era = era_;
        for (;;)
        {
            if (away_ || era != era_)
            {
                // A watch that waits may be cut.
                reset(fd);
                return;
            }
            // History that it does not have: PROTOCOL.md and NEWS.md.
            if (after < history_starts_ || after > revision_)
            {
                reply(fd, 410, nullptr);
                return;
            }
            auto events = json::array();
            for (auto const& event : history_)
            {
                if (event.at("revision").get<std::int64_t>() > after &&
                    event.at("key").get<std::string>().rfind(prefix, 0) == 0)
                {
                    events.push_back(event);
                }
            }
            if (!events.empty() || steady::now() >= until)
            {
                reply(fd, 200, {{"events", events}, {"asOf", revision_}});
                return;
            }
            changed_.wait_until(lock, until);
        }
    }

    void transact(int fd, json const& it)
    {
        for (auto const& row : it.value("expectedRev", json::array()))
        {
            auto const found = items_.find(row.at("key").get<std::string>());
            auto const held =
                found == items_.end()
                    ? std::int64_t{0}
                    : found->second.at("revision").get<std::int64_t>();
            if (held != row.at("revision").get<std::int64_t>())
            {
                auto entries = json::array();
                if (found != items_.end())
                {
                    entries.push_back(found->second);
                }
                reply(fd, 412, {{"entries", entries}});
                return;
            }
        }
        for (auto const& write : it.value("writes", json::array()))
        {
            auto const key = write.at("key").get<std::string>();
            if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0)
            {
                reply(fd, 403, nullptr);
                return;
            }
            put_locked(key, unbase64(write.at("value").get<std::string>()),
                       write.value("lease", std::int64_t{0}));
        }
        for (auto const& key : it.value("remove", json::array()))
        {
            items_.erase(key.get<std::string>());
            history_.push_back(
                {{"key", key}, {"revision", ++revision_}, {"removed", true}});
        }
        changed_.notify_all();
        reply(fd, 200, {{"revision", revision_}});
    }

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, json> items_;
    std::pair<std::map<std::string, json>, std::int64_t> copy_;
    std::deque<json> history_;
    std::int64_t history_starts_ = 0;
    std::int64_t revision_ = 0;
    int era_ = 1;
    bool away_ = false;
    std::atomic<long> calls_{0};
    // Last: its threads use what stands above.
    server server_;
};

/// Runs that replicas did, by all of them.
struct run
{
    std::string id, replica, service, path, tenant;
    double at = 0;
};

class run_book
{
public:
    void add(run it)
    {
        auto const lock = std::lock_guard{mutex_};
        runs_.push_back(std::move(it));
    }
    auto all() const -> std::vector<run>
    {
        auto const lock = std::lock_guard{mutex_};
        return runs_;
    }

private:
    mutable std::mutex mutex_;
    std::vector<run> runs_;
};

/// A sound replica of a plain service. It registers itself, runs what it is
/// sent under its id, and answers with its signature. A request whose body it
/// names as poison crashes it as it begins to run; a process of the same id is
/// back some seconds later.
class replica
{
public:
    replica(store& to, record& book, run_book& runs, std::string ip,
            std::string id, std::string service, std::string zone)
        : store_(to), record_(book), runs_(runs), ip_(std::move(ip)),
          id_(std::move(id)), service_(std::move(service)),
          zone_(std::move(zone))
    {
        start();
        keeper_ = std::thread{[this] { keep(); }};
    }

    ~replica()
    {
        over_ = true;
        keeper_.join();
        if (server_)
        {
            server_->stop();
        }
    }

    auto id() const -> std::string { return id_; }
    auto crashes() const -> int { return crashes_; }

    void write(std::string const& state, int cold_left_ms = 0)
    {
        store_.put("servers/" + id_,
                   json{{"service", service_},
                        {"address", server_->endpoint()},
                        {"zone", zone_},
                        {"version", "v1"},
                        {"slots", slots},
                        {"state", state},
                        {"coldLeftMs", cold_left_ms},
                        {"born", born_},
                        {"sequence", ++sequence_}}
                       .dump());
    }

    /// Its process ends for good: what it still works on is lost.
    void end()
    {
        ended_ = true;
        server_->stop();
        record_.line("replica  " + id_ + " has ended");
    }

    std::atomic<int> work_ms{20};
    int slots = 6;
    /// It says in all its answers that it leaves.
    std::atomic<bool> says_leaving{false};
    /// The body that crashes it, and the time until it is back. Set before it
    /// gets requests.
    std::string poison;
    int back_after_ms = 2000;
    /// Each start has another id.
    bool new_ids = false;

private:
    void start()
    {
        born_ = unix_ms();
        crashing_ = false;
        server_ = std::make_unique<server>(
            ip_, [this](int fd, message const& it) { serve(fd, it); });
        write("ready");
    }

    /// Ends the process after a crash and starts it again.
    void keep()
    {
        while (!over_)
        {
            pause_ms(2);
            if (!crashing_ || ended_)
            {
                continue;
            }
            pause_ms(10);
            ++crashes_;
            record_.line("CRASH    of " + id_);
            server_.reset();
            pause_ms(back_after_ms);
            if (new_ids)
            {
                store_.remove("servers/" + id_);
                id_ += "'";
            }
            start();
            record_.line("replica  " + id_ + " is back");
        }
    }

    void serve(int fd, message const& it)
    {
        auto const id = it.header("x-attempt-id");
        auto const leaving =
            says_leaving ? std::string{"Server-Leaving: 1\r\n"} : std::string{};
        auto const expected = it.header("x-expect-replica");
        if (!expected.empty() && expected != id_)
        {
            send_all(fd, "HTTP/1.1 421 x\r\nX-Not-Executed: 1\r\nX-Attempt-Id: " +
                             id + "\r\nX-Replica-Id: " + id_ +
                             "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        if (id.empty())
        {
            send_all(fd, "HTTP/1.1 400 x\r\nX-Not-Executed: 1\r\n" + leaving +
                             "Content-Length: 0\r\n\r\n");
            return;
        }
        runs_.add({id, id_, service_, it.second, it.header("x-tenant"),
                   record_.seconds()});
        record_.line("run      " + id + " " + it.second + " at " + id_ + " of " +
                     service_ + " tenant " + it.header("x-tenant"));
        if (!poison.empty() && it.body == poison)
        {
            crashing_ = true;
            while (!peer_gone(fd))
            {
                pause_ms(1);
            }
            return;
        }
        auto const until = steady::now() + milliseconds{work_ms};
        while (steady::now() < until)
        {
            pause_ms(1);
            if (peer_gone(fd))
            {
                return;
            }
        }
        auto const body = "done " + id + " by " + id_;
        send_all(fd, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                         "\r\nX-Replica-Signature: s." + id + "." + id_ +
                         "\r\n" + leaving + "Content-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    store& store_;
    record& record_;
    run_book& runs_;
    std::string ip_, id_, service_, zone_;
    std::int64_t born_ = 0;
    int sequence_ = 0;
    std::atomic<int> crashes_{0};
    std::atomic<bool> crashing_{false}, ended_{false}, over_{false};
    std::unique_ptr<server> server_;
    std::thread keeper_;
};

/// Loopback addresses of this process of its own.
inline auto own_ip(int n) -> std::string
{
    constexpr auto many = 250;
    auto const pid = static_cast<int>(::getpid());
    return "127." + std::to_string(1 + pid % many) + '.' +
           std::to_string(pid / many % many) + '.' + std::to_string(n);
}

inline auto free_port(std::string const& ip, int kind) -> int
{
    auto const fd = ::socket(AF_INET, kind, 0);
    auto at = address_of(ip, 0);
    auto n = socklen_t{sizeof at};
    if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
    {
        throw std::runtime_error("no free port on " + ip);
    }
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &n);
    ::close(fd);
    return ntohs(at.sin_port);
}

struct gateway_ports
{
    int front, ready, control, first, last;
};

inline auto choose_ports(std::string const& ip) -> gateway_ports
{
    auto out = std::set<int>{};
    while (out.size() < 5)
    {
        out.insert(free_port(ip, SOCK_STREAM));
    }
    auto const it = std::vector<int>(out.begin(), out.end());
    return {it[0], it[1], it[2], it[3], it[4]};
}

/// Processes that run, by slot; 0: none.
inline auto started_pids() -> std::array<std::atomic<int>, 32>&
{
    static auto it = std::array<std::atomic<int>, 32>{};
    return it;
}

/// `PRIMROSEDEAL_CONFIG=FILE target/primrosedeal gateway`, as DEPLOY.md says,
/// with the settings of a small deployment.
class gateway
{
public:
    gateway(std::string program, std::string const& folder, std::string name,
            std::string const& zone, std::string const& ip,
            gateway_ports const& ports, std::string const& store_endpoint,
            std::vector<std::string> const& seeds)
        : program_(std::move(program)), name_(std::move(name)), ip_(ip),
          ports_(ports), settings_(folder + '/' + name_ + ".json"),
          log_(folder + '/' + name_ + ".log")
    {
        auto const at = [&](int port) { return ip + ':' + std::to_string(port); };
        auto const it = json{
            {"nodeName", name_},
            {"role", "gateway"},
            {"machineClass", "edge"},
            {"serves", {"edge", "control_plane"}},
            {"ip", ip},
            {"zone", zone},
            {"region", "r"},
            {"zones", {{"z-a", "r"}, {"z-b", "r"}, {"z-c", "r"}}},
            {"listen",
             {{"front", at(ports.front)},
              {"ready", at(ports.ready)},
              {"control", at(ports.control)}}},
            {"internalPorts", {ports.first, ports.last}},
            {"seeds", seeds},
            {"bootstrap", true},
            {"inTolerance", false},
            {"limits",
             {{"cpuShare", 0.25},
              {"cores", 1},
              {"memoryMb", 260},
              {"maxFds", 4100},
              {"linkMbps", 1000.0},
              {"diskMb", 0}}},
            {"dataDir", nullptr},
            {"discovery", "platform"},
            {"entry", "vip"},
            {"heartbeatMs", 1200},
            {"contracts",
             {"base", "drain", "config", "cost", "retry", "recover", "engine",
              "stream", "tenants", "platform"}},
            {"faultTolerance", {{"machines", 1}, {"zones", 1}, {"regions", 0}}},
            {"bounds",
             {{"seedLagS", 3},
              {"reuseAfterS", 2},
              {"contactMs", 3000},
              {"ackMs", 4000},
              {"catchUpS", 4},
              {"drainMs", 2000},
              {"graceS", 8},
              {"lossSlackMs", 200},
              {"configApplyMs", 2000},
              {"rollbackSlackMs", 250},
              {"maxStretchMs", 5000},
              {"revokeStrict", false},
              {"revokeMs", 5000},
              {"retryRatio", 0.8},
              {"retryWindowS", 10},
              {"retrySlack", 150},
              {"recoveryS", 12},
              {"passMs", 120},
              {"reuseWindowS", 10}}},
            {"platform",
             {{"address", store_endpoint},
              {"form", "kv"},
              {"writesPerS", 400},
              {"readsPerS", 2000},
              {"historyS", 20},
              {"valueBytes", 1048576},
              {"ttlMinMs", 1000}}}};
        std::ofstream{settings_} << it.dump(1);
        start();
    }
    gateway(gateway const&) = delete;
    auto operator=(gateway const&) -> gateway& = delete;

    ~gateway()
    {
        if (pid_ > 0)
        {
            ::kill(pid_, SIGCONT);
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
        }
        started_pids().at(slot_) = 0;
    }

    void start()
    {
        auto variables = std::vector<std::string>{"PRIMROSEDEAL_CONFIG=" +
                                                  settings_};
        for (auto** it = environ; *it != nullptr; ++it)
        {
            auto const text = std::string{*it};
            for (auto const* const name : {"PATH=", "HOME=", "LANG="})
            {
                if (text.rfind(name, 0) == 0)
                {
                    variables.push_back(text);
                }
            }
        }
        auto env = std::vector<char*>{};
        for (auto& it : variables)
        {
            env.push_back(it.data());
        }
        env.push_back(nullptr);
        auto verb = std::string{"gateway"};
        char* arguments[] = {program_.data(), verb.data(), nullptr};
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(&files, 1, log_.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&files, 1, 2);
        auto const failed = posix_spawn(&pid_, program_.c_str(), &files, nullptr,
                                        arguments, env.data());
        posix_spawn_file_actions_destroy(&files);
        if (failed != 0)
        {
            pid_ = -1;
            throw std::runtime_error("cannot start " + program_);
        }
        started_pids().at(slot_) = pid_;
    }

    void send_signal(int number)
    {
        if (pid_ > 0)
        {
            ::kill(pid_, number);
        }
    }

    /// Kills it, waits for its end and starts it again.
    void restart()
    {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        start();
    }

    /// How it ended, if it has.
    auto end() -> std::string
    {
        auto status = 0;
        if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_)
        {
            return {};
        }
        pid_ = -1;
        started_pids().at(slot_) = 0;
        return WIFSIGNALED(status)
                   ? "signal " + std::to_string(WTERMSIG(status))
                   : "status " + std::to_string(WEXITSTATUS(status));
    }

    auto ready() const -> bool
    {
        return ask_once(ip_, ports_.ready, "GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n",
                        500)
                   .status == 200;
    }

    /// Memory that it uses now.
    auto memory_kb() const -> long
    {
        auto in = std::ifstream{"/proc/" + std::to_string(pid_) + "/status"};
        auto line = std::string{};
        while (std::getline(in, line))
        {
            if (line.rfind("VmRSS:", 0) == 0)
            {
                return std::atol(line.c_str() + 6);
            }
        }
        return 0;
    }

    auto name() const -> std::string const& { return name_; }
    auto ip() const -> std::string const& { return ip_; }
    auto front() const -> int { return ports_.front; }
    auto log() const -> std::string const& { return log_; }

private:
    std::string program_, name_, ip_;
    gateway_ports ports_;
    std::string settings_, log_;
    pid_t pid_ = -1;
    std::size_t slot_ = next_slot();

    static auto next_slot() -> std::size_t
    {
        static auto n = std::size_t{0};
        return n++;
    }
};

/// Ends the processes that were started if this one is told to end.
inline void end_with_children()
{
    auto const end = [](int)
    {
        for (auto const& pid : started_pids())
        {
            if (pid > 0)
            {
                ::kill(pid, SIGKILL);
            }
        }
        ::_exit(2);
    };
    std::signal(SIGTERM, end);
    std::signal(SIGINT, end);
    std::signal(SIGPIPE, SIG_IGN);
}

/// `--name value` of the command line.
inline auto option(int n, char** words, std::string const& name) -> std::string
{
    for (auto i = 1; i + 1 < n; ++i)
    {
        if (words[i] == name)
        {
            return words[i + 1];
        }
    }
    throw std::runtime_error(name + " is missing");
}

inline auto troubled() -> bool
{
    auto const* const it = std::getenv("TROUBLE");
    return it == nullptr || std::string{it} != "0";
}

/// Exit codes of a case.
constexpr auto held = 0;
constexpr auto broken = 1;
constexpr auto could_not_run = 2;

} // namespace review
