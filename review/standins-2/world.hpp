#pragma once

// The platform's store, replicas, machines (the real program as processes) and
// the record of a case.

#include "net.hpp"

#include <signal.h>
#include <sys/wait.h>

#include <condition_variable>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace review
{

/// Lines of what was sent, answered and run, in `record.txt` of the case.
class record
{
public:
    explicit record(std::string const& file) : out_(file), start_(steady::now())
    {
    }

    void line(std::string const& text)
    {
        auto const lock = std::lock_guard{mutex_};
        char at[32];
        std::snprintf(at, sizeof at, "%8.3f ", now());
        out_ << at << text << '\n';
        out_.flush();
    }

    /// Also on the terminal.
    void say(std::string const& text)
    {
        line(text);
        std::cout << text << std::endl;
    }

    [[nodiscard]] auto now() const -> double
    {
        return to_seconds(steady::now() - start_);
    }

private:
    std::ofstream out_;
    steady::time_point start_;
    std::mutex mutex_;
};

inline auto base64(std::string const& it) -> std::string
{
    static constexpr auto digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopq"
                                   "rstuvwxyz0123456789+/";
    auto out = std::string{};
    for (auto i = std::size_t{0}; i < it.size(); i += 3)
    {
        auto n = std::uint32_t{0};
        auto const left = std::min<std::size_t>(3, it.size() - i);
        for (auto j = std::size_t{0}; j < 3; ++j)
        {
            n = n << 8U |
                (j < left ? static_cast<unsigned char>(it[i + j]) : 0U);
        }
        for (auto j = std::size_t{0}; j < 4; ++j)
        {
            out += j <= left ? digits[n >> (18 - 6 * j) & 63U] : '=';
        }
    }
    return out;
}

inline auto unbase64(std::string_view text) -> std::string
{
    static auto const value = [](char c) -> int
    {
        if (c >= 'A' && c <= 'Z')
        {
            return c - 'A';
        }
        if (c >= 'a' && c <= 'z')
        {
            return c - 'a' + 26;
        }
        if (c >= '0' && c <= '9')
        {
            return c - '0' + 52;
        }
        return c == '+' ? 62 : c == '/' ? 63 : -1;
    };
    auto out = std::string{};
    auto bits = std::uint32_t{0};
    auto n = 0;
    for (auto const c : text)
    {
        auto const v = value(c);
        if (v < 0)
        {
            break;
        }
        bits = bits << 6U | static_cast<std::uint32_t>(v);
        n += 6;
        if (n >= 8)
        {
            n -= 8;
            out += static_cast<char>(bits >> n & 0xFFU);
        }
    }
    return out;
}

/// The value of a member of flat JSON that this system writes.
inline auto member(std::string_view json, std::string const& name,
                   std::size_t from = 0) -> std::string
{
    auto const key = '"' + name + "\":";
    auto at = json.find(key, from);
    if (at == std::string_view::npos)
    {
        return {};
    }
    at += key.size();
    if (json[at] == '"')
    {
        return std::string{json.substr(at + 1, json.find('"', at + 1) - at - 1)};
    }
    return std::string{json.substr(at, json.find_first_of(",}]", at) - at)};
}

/// The platform's metadata store: items, watches, transactions. Sound and
/// linearizable; `cut` makes it unreachable, as a partition does: nothing is
/// answered, and connections hang until it ends. `restore_copy` is the drill of
/// the pages.
class store
{
public:
    explicit store(std::string const& ip)
        : listener_(ip, [this](connection& it) { serve(it); })
    {
    }

    ~store()
    {
        stopping_ = true;
        changed_.notify_all();
        listener_.stop();
    }

    [[nodiscard]] auto at() const -> address const&
    {
        return listener_.at();
    }

    void put(std::string const& key, std::string const& value)
    {
        auto const lock = std::lock_guard{mutex_};
        put_locked(key, value);
    }

    void remove(std::string const& key)
    {
        auto const lock = std::lock_guard{mutex_};
        remove_locked(key);
    }

    /// A copy of all items.
    void take_copy()
    {
        auto const lock = std::lock_guard{mutex_};
        copy_ = items_;
        copy_revision_ = revision_;
    }

    /// Comes back from the last copy: revisions go back and are given out
    /// again, and there is no history.
    void restore_copy()
    {
        auto const lock = std::lock_guard{mutex_};
        items_ = copy_;
        revision_ = copy_revision_;
        events_.clear();
        history_from_ = revision_;
        ++era_;
        changed_.notify_all();
    }

    /// Cuts the watches that wait, once. All other calls are answered.
    void cut_watches()
    {
        auto const lock = std::lock_guard{mutex_};
        ++watch_cuts_;
        changed_.notify_all();
    }

    void cut(bool on)
    {
        auto const lock = std::lock_guard{mutex_};
        cut_ = on;
        changed_.notify_all();
    }

private:
    struct item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
    };

    struct event
    {
        std::string key;
        std::optional<item> now;
        std::int64_t revision = 0;
    };

    void put_locked(std::string const& key, std::string const& value)
    {
        ++revision_;
        auto& it = items_[key];
        it.created = it.created == 0 ? revision_ : it.created;
        it.value = value;
        it.revision = revision_;
        events_.push_back({key, it, revision_});
        changed_.notify_all();
    }

    void remove_locked(std::string const& key)
    {
        if (items_.erase(key) > 0)
        {
            ++revision_;
            events_.push_back({key, std::nullopt, revision_});
            changed_.notify_all();
        }
    }

    static auto write_item(std::string const& key, item const& it) -> std::string
    {
        return "{\"key\":\"" + key + "\",\"value\":\"" + base64(it.value) +
               "\",\"revision\":" + std::to_string(it.revision) +
               ",\"created\":" + std::to_string(it.created) + ",\"lease\":0";
    }

    static auto argument(std::string const& target, std::string const& name)
        -> std::string
    {
        auto const query = target.find('?');
        auto at = query == std::string::npos
                      ? query
                      : target.find(name + '=', query + 1);
        if (at == std::string::npos)
        {
            return {};
        }
        at += name.size() + 1;
        auto const raw = target.substr(at, target.find('&', at) - at);
        auto out = std::string{};
        for (auto i = std::size_t{0}; i < raw.size(); ++i)
        {
            if (raw[i] == '%' && i + 2 < raw.size())
            {
                out += static_cast<char>(
                    std::strtoul(raw.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            }
            else
            {
                out += raw[i];
            }
        }
        return out;
    }

    auto reply(connection& to, int status, std::string const& body) -> bool
    {
        return to.write("HTTP/1.1 " + std::to_string(status) +
                        " Store\r\nContent-Type: application/json\r\n"
                        "Store-Era: " +
                        std::to_string(era_) + "\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    void serve(connection& it)
    {
        auto request = message{};
        while (it.read_request(request))
        {
            auto lock = std::unique_lock{mutex_};
            if (cut_)
            {
                changed_.wait(lock, [&] { return !cut_ || stopping_; });
                return;
            }
            if (!answer(it, request, lock))
            {
                return;
            }
            request = message{};
        }
    }

    auto answer(connection& to, message const& request,
                std::unique_lock<std::mutex>& lock) -> bool
    {
        auto const path = request.target.substr(0, request.target.find('?'));
        if (path == "/-/kv-watch")
        {
            return answer_watch(to, request, lock);
        }
        if (path == "/-/kv-range")
        {
            auto const prefix = argument(request.target, "pathPrefix");
            auto out = std::string{"{\"entries\":["};
            for (auto const& [key, it] : items_)
            {
                if (key.starts_with(prefix))
                {
                    out += (out.back() == '[' ? "" : ",") +
                           write_item(key, it) + '}';
                }
            }
            return reply(to, 200,
                         out + "],\"hasMore\":false,\"asOf\":" +
                             std::to_string(revision_) + '}');
        }
        if (path == "/-/kv-key")
        {
            auto const found = items_.find(argument(request.target, "key"));
            return found == items_.end()
                       ? reply(to, 404, "{}")
                       : reply(to, 200,
                               write_item(found->first, found->second) +
                                   ",\"asOf\":" + std::to_string(revision_) +
                                   '}');
        }
        if (path == "/-/kv-txn")
        {
            return answer_transaction(to, request.body);
        }
        return reply(to, 404, "{}");
    }

    auto answer_watch(connection& to, message const& request,
                      std::unique_lock<std::mutex>& lock) -> bool
    {
        auto const prefix = argument(request.target, "pathPrefix");
        auto const after =
            std::atoll(argument(request.target, "after").c_str());
        auto const until =
            steady::now() +
            ms{std::atoll(argument(request.target, "waitMs").c_str())};
        auto const cuts = watch_cuts_;
        auto const lost = [&]
        {
            return after > revision_ || after < history_from_;
        };
        auto const any = [&]
        {
            return !events_.empty() && events_.back().revision > after;
        };
        while (cuts == watch_cuts_ && !lost() && !any() && !cut_ && !stopping_ && steady::now() < until)
        {
            changed_.wait_until(lock, std::min(until, steady::now() + 100ms));
        }
        if (cuts != watch_cuts_)
        {
            return false;
        }
        if (cut_)
        {
            changed_.wait(lock, [&] { return !cut_ || stopping_; });
            return false;
        }
        if (lost())
        {
            return reply(to, 410, "{}");
        }
        auto out = std::string{"{\"events\":["};
        for (auto const& it : events_)
        {
            if (it.revision > after && it.key.starts_with(prefix))
            {
                out += out.back() == '[' ? "" : ",";
                out += it.now ? write_item(it.key, *it.now) + '}'
                              : "{\"key\":\"" + it.key + "\",\"revision\":" +
                                    std::to_string(it.revision) +
                                    ",\"removed\":true}";
            }
        }
        return reply(to, 200,
                     out + "],\"asOf\":" + std::to_string(revision_) + '}');
    }

    auto answer_transaction(connection& to, std::string const& body) -> bool
    {
        auto const section = [&](std::string const& name)
        {
            auto const at = body.find('"' + name + "\":[");
            return at == std::string::npos
                       ? std::string{}
                       : body.substr(at, body.find(']', at) - at);
        };
        auto const rows = section("expectedRev");
        for (auto at = rows.find('{'); at != std::string::npos;
             at = rows.find('{', at + 1))
        {
            auto const found = items_.find(member(rows, "key", at));
            auto const held = found == items_.end() ? 0 : found->second.revision;
            if (held != std::atoll(member(rows, "revision", at).c_str()))
            {
                return reply(to, 412, "{\"entries\":[]}");
            }
        }
        auto const writes = section("writes");
        for (auto at = writes.find('{'); at != std::string::npos;
             at = writes.find('{', at + 1))
        {
            put_locked(member(writes, "key", at),
                       unbase64(member(writes, "value", at)));
        }
        return reply(to, 200,
                     "{\"revision\":" + std::to_string(revision_) + '}');
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<event> events_;
    std::int64_t revision_ = 100;
    std::int64_t era_ = 1;
    int watch_cuts_ = 0;
    /// Watches from before this have no history.
    std::int64_t history_from_ = 0;
    std::map<std::string, item> copy_;
    std::int64_t copy_revision_ = 0;
    bool cut_ = false;
    std::atomic<bool> stopping_{false};
    listener listener_;
};

/// A replica of a plain service.
class replica
{
public:
    struct arrival
    {
        std::string id;
        steady::time_point at{};
        /// The replica wrote the whole answer.
        bool answered = false;
    };

    replica(record& log, store& platform, std::string id, std::string service,
            std::string zone, std::string const& ip, ms work, int slots = 64)
        : log_(log), store_(platform), id_(std::move(id)),
          service_(std::move(service)), zone_(std::move(zone)), work_(work),
          slots_(slots), born_(std::chrono::duration_cast<ms>(
                                   std::chrono::system_clock::now()
                                       .time_since_epoch())
                                   .count()),
          listener_(ip, [this](connection& it) { serve(it); })
    {
        register_as("ready");
    }

    /// Registers itself as draining, and says so in all answers.
    void leave()
    {
        leaving_ = true;
        register_as("draining");
        log_.line("replica " + id_ + " leaves");
    }

    /// Leaves without a report: its entry goes, and it goes on serving.
    void leave_unreported()
    {
        store_.remove("servers/" + id_);
        log_.line("replica " + id_ + " leaves, its entry is removed");
    }

    /// Ends, and its entry with it.
    void exit()
    {
        log_.line("replica " + id_ + " exits");
        exited_ = true;
        listener_.stop();
        store_.remove("servers/" + id_);
    }

    [[nodiscard]] auto id() const -> std::string const&
    {
        return id_;
    }

    [[nodiscard]] auto arrivals() const -> std::vector<arrival>
    {
        auto const lock = std::lock_guard{mutex_};
        return arrivals_;
    }

private:
    void register_as(std::string const& state)
    {
        store_.put("servers/" + id_,
                   "{\"service\":\"" + service_ + "\",\"address\":\"" +
                       listener_.at().text() + "\",\"zone\":\"" + zone_ +
                       "\",\"version\":\"v1\",\"slots\":" +
                       std::to_string(slots_) + ",\"state\":\"" + state +
                       "\",\"coldLeftMs\":0,\"sequence\":1,\"born\":" +
                       std::to_string(born_) + '}');
    }

    void serve(connection& it)
    {
        auto request = message{};
        while (it.read_request(request))
        {
            auto const expected = request.get("X-Expect-Replica");
            if (expected && *expected != id_)
            {
                it.write("HTTP/1.1 421 Misdirected Request\r\nX-Replica-Id: " +
                         id_ + "\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            if (!run(it, request))
            {
                return;
            }
            request = message{};
        }
    }

    auto run(connection& to, message const& request) -> bool
    {
        auto const id = request.get("X-Attempt-Id").value_or("");
        auto n = std::size_t{0};
        {
            auto const lock = std::lock_guard{mutex_};
            n = arrivals_.size();
            arrivals_.push_back({id, steady::now(), false});
        }
        log_.line("replica " + id_ + " runs " + id);
        std::this_thread::sleep_for(work_);
        auto const body = "done " + id + " at " + id_;
        auto const written =
            !exited_ &&
            to.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                     "\r\nX-Replica-Signature: " + id_ + ".1\r\n" +
                     (leaving_ ? "Server-Leaving: 1\r\n" : "") +
                     "Content-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body);
        auto const lock = std::lock_guard{mutex_};
        arrivals_[n].answered = written;
        return written;
    }

    record& log_;
    store& store_;
    std::string id_;
    std::string service_;
    std::string zone_;
    ms work_;
    int slots_;
    std::int64_t born_;
    std::atomic<bool> leaving_{false};
    std::atomic<bool> exited_{false};
    mutable std::mutex mutex_;
    std::vector<arrival> arrivals_;
    listener listener_;
};

/// Ports of the machines, the same on all of them.
inline auto ports() -> std::vector<std::uint16_t> const&
{
    static auto const it = []
    {
        auto const ip = "127." +
                        std::to_string(10 + static_cast<int>(::getpid()) % 240) +
                        ".251.2";
        auto out = std::set<std::uint16_t>{};
        while (out.size() < 5)
        {
            out.insert(free_port(ip));
        }
        return std::vector<std::uint16_t>{out.begin(), out.end()};
    }();
    return it;
}

/// One machine: the program as the deploy file starts it. `folder` is its
/// temporary folder.
class machine
{
public:
    machine(std::string name, std::string zone, std::string ip,
            std::string folder, address const& platform, int memory_mb = 260)
        : name_(std::move(name)), ip_(std::move(ip)), folder_(std::move(folder))
    {
        front_ = {ip_, ports().at(0)};
        ready_ = {ip_, ports().at(1)};
        auto const control = address{ip_, ports().at(2)};
        auto const first = ports().at(3);
        auto const second = ports().at(4);
        auto out = std::ofstream{file()};
        out << "{\"nodeName\":\"" << name_ << "\",\"role\":\"gateway\","
            << "\"machineClass\":\"edge\","
            << "\"serves\":[\"edge\",\"control_plane\"],\"ip\":\"" << ip_
            << "\",\"zone\":\"" << zone << "\",\"region\":\"r\",\"zones\":{\""
            << zone << "\":\"r\"},\"listen\":{\"front\":\"" << front_.text()
            << "\",\"ready\":\"" << ready_.text() << "\",\"control\":\""
            << control.text() << "\"},\"internalPorts\":[" << first << ','
            << second << "],\"seeds\":[\"" << control.text()
            << "\"],\"bootstrap\":true,\"inTolerance\":false,"
            << "\"limits\":{\"cpuShare\":0.25,\"cores\":1,\"memoryMb\":"
            << memory_mb
            << ",\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0},"
            << "\"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"vip\","
            << "\"heartbeatMs\":1200,\"faultTolerance\":{\"machines\":1,"
            << "\"zones\":1,\"regions\":0},\"bounds\":{\"seedLagS\":3,"
            << "\"reuseAfterS\":2,\"contactMs\":3000,\"ackMs\":4000,"
            << "\"catchUpS\":4,\"drainMs\":2000,\"graceS\":8,"
            << "\"lossSlackMs\":200,\"configApplyMs\":2000,"
            << "\"rollbackSlackMs\":250,\"maxStretchMs\":5000,"
            << "\"revokeStrict\":false,\"revokeMs\":5000,\"retryRatio\":0.8,"
            << "\"retryWindowS\":10,\"retrySlack\":150,\"recoveryS\":12,"
            << "\"passMs\":120,\"reuseWindowS\":10},\"platform\":{"
            << "\"address\":\"" << platform.text()
            << "\",\"form\":\"kv\",\"writesPerS\":400,\"readsPerS\":2000,"
            << "\"historyS\":20,\"valueBytes\":1048576,\"ttlMinMs\":1000}}\n";
    }

    machine(machine const&) = delete;
    auto operator=(machine const&) -> machine& = delete;

    ~machine()
    {
        stop();
    }

    void start()
    {
        pid_ = ::fork();
        if (pid_ == 0)
        {
            auto const log = folder_ + '/' + name_ + ".log";
            auto const fd =
                ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::setenv("PRIMROSEDEAL_CONFIG", file().c_str(), 1);
            ::execl("target/primrosedeal", "target/primrosedeal", "gateway",
                    static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }

    void stop()
    {
        if (pid_ > 0)
        {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }

    void send_signal(int it) const
    {
        if (pid_ > 0)
        {
            ::kill(pid_, it);
        }
    }

    /// How the process ended by itself; nothing while it runs.
    auto ended() -> std::optional<std::string>
    {
        auto status = 0;
        if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_)
        {
            return std::nullopt;
        }
        pid_ = -1;
        return WIFSIGNALED(status)
                   ? "signal " + std::to_string(WTERMSIG(status))
                   : "exit " + std::to_string(WEXITSTATUS(status));
    }

    [[nodiscard]] auto running() const -> bool
    {
        return pid_ > 0;
    }

    [[nodiscard]] auto is_ready() const -> bool
    {
        auto const it = connect_to(ready_);
        auto answer = message{};
        if (!it)
        {
            return false;
        }
        it->set_timeout(1000ms);
        return it->write("GET /-/readyz HTTP/1.1\r\nHost: r\r\n\r\n") &&
               it->read_response(answer) && answer.status == 200;
    }

    [[nodiscard]] auto wait_ready(ms longest) const -> bool
    {
        auto const until = steady::now() + longest;
        while (steady::now() < until)
        {
            if (is_ready())
            {
                return true;
            }
            std::this_thread::sleep_for(100ms);
        }
        return false;
    }

    /// Resident memory in megabytes.
    [[nodiscard]] auto resident_mb() const -> double
    {
        auto in = std::ifstream{"/proc/" + std::to_string(pid_) + "/statm"};
        auto size = 0L;
        auto resident = 0L;
        in >> size >> resident;
        return static_cast<double>(resident) *
               static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20);
    }

    [[nodiscard]] auto front() const -> address const&
    {
        return front_;
    }

    [[nodiscard]] auto name() const -> std::string const&
    {
        return name_;
    }

private:
    [[nodiscard]] auto file() const -> std::string
    {
        return folder_ + '/' + name_ + ".json";
    }

    std::string name_;
    std::string ip_;
    std::string folder_;
    address front_;
    address ready_;
    pid_t pid_ = -1;
};

/// A loopback address of this run for machine `n`.
inline auto machine_ip(int n) -> std::string
{
    auto const id = static_cast<int>(::getpid());
    return "127." + std::to_string(10 + id % 240) + '.' +
           std::to_string(1 + id / 240 % 250) + '.' + std::to_string(n + 2);
}

struct outcome
{
    /// 0: the connection ended without an answer, or none came in time.
    int status = 0;
    bool whole = false;
    std::string body;
    std::vector<header> headers;
    steady::time_point sent_at{};
    steady::time_point ended_at{};
};

/// One request on a connection of its own.
inline auto ask(address const& to, std::string const& bytes, ms longest,
                std::string const& from = {}) -> outcome
{
    auto out = outcome{};
    out.sent_at = steady::now();
    if (auto const it = connect_to(to, from))
    {
        it->set_timeout(longest);
        auto answer = message{};
        if (it->write(bytes) && it->read_response(answer))
        {
            out.status = answer.status;
            out.whole = answer.whole;
            out.body = answer.body;
            out.headers = answer.headers;
        }
    }
    out.ended_at = steady::now();
    return out;
}

inline auto trouble() -> bool
{
    auto const* const it = std::getenv("TROUBLE");
    return it == nullptr || std::string_view{it} != "0";
}

/// A temporary folder that goes with the case.
struct temporary_folder
{
    std::string path;

    temporary_folder()
    {
        auto text = (std::filesystem::temp_directory_path() / "case-XXXXXX")
                        .string();
        if (::mkdtemp(text.data()) == nullptr)
        {
            throw std::runtime_error("no temporary folder");
        }
        path = text;
    }

    ~temporary_folder()
    {
        if (std::getenv("KEEP") == nullptr)
        {
            auto failed = std::error_code{};
            std::filesystem::remove_all(path, failed);
        }
    }
};

} // namespace review
