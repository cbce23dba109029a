#include "load/driver.hpp"

#include "load/generation_caller.hpp"
#include "load/plain_caller.hpp"
#include "load/workload.hpp"

#include <nlohmann/json.hpp>

#include <memory>

// One timer walks the plan. Callers stay alive until the run is over, so that
// none is destroyed inside its own events. When all are over, the plain
// services are asked how often they ran what.
namespace primrosedeal::load
{

namespace
{

class driver
{
public:
    explicit driver(load_options const& options)
        : options_(options), plan_(plan_workload(options)),
          began_(net::event_loop::now())
    {
        report_.resume_gap_floor = options.resume_gap_floor;
    }

    auto run() -> load_report
    {
        if (plan_.empty())
        {
            return report_;
        }
        start_due();
        auto const give_up =
            loop_.after(plan_.back().at + options_.give_up_after,
                        [this] { give_up_all(); });
        loop_.run();
        collect();
        return std::move(report_);
    }

private:
    void start_due()
    {
        auto const now = net::event_loop::now();
        while (next_ < plan_.size() && began_ + plan_[next_].at <= now)
        {
            start(plan_[next_++]);
        }
        if (next_ < plan_.size())
        {
            arrival_ = loop_.after(began_ + plan_[next_].at - now,
                                   [this] { start_due(); });
        }
    }

    void start(planned_call const& call)
    {
        auto const on_done = [this]
        {
            on_call_over();
        };
        if (std::holds_alternative<planned_generation>(call.what))
        {
            generations_.push_back(std::make_unique<generation_caller>(
                loop_, options_, call, began_, on_done));
            generations_.back()->start();
            return;
        }
        plain_.push_back(std::make_unique<plain_caller>(loop_, options_, call,
                                                        began_, on_done));
        plain_.back()->start();
    }

    void on_call_over()
    {
        if (++over_ == plan_.size())
        {
            count_executions();
        }
    }

    void give_up_all()
    {
        for (auto const& it : generations_)
        {
            it->give_up();
        }
        for (auto const& it : plain_)
        {
            it->give_up();
        }
    }

    void count_executions()
    {
        auto const& counters = options_.execution_counters;
        report_.executions.known = !counters.empty();
        asked_ = counters.size();
        if (counters.empty())
        {
            loop_.stop();
        }
        for (auto const& it : counters)
        {
            fetches_.push_back(net::fetch(
                loop_, it, {net::http_method::get, "/executions", {}, ""}, 5s,
                [this](net::http_response const& answer)
                { add_executions(answer); },
                [this](net::call_error, bool) { on_counter(false); }));
        }
    }

    void add_executions(net::http_response const& answer)
    {
        auto const counts = nlohmann::json::parse(answer.body, nullptr, false);
        if (!counts.is_object())
        {
            on_counter(false);
            return;
        }
        for (auto const& it : counts)
        {
            auto const n = it.get<std::uint64_t>();
            report_.executions.total += n;
            report_.executions.repeated += n > 1 ? 1 : 0;
        }
        on_counter(true);
    }

    void on_counter(bool answered)
    {
        report_.executions.known = report_.executions.known && answered;
        if (--asked_ == 0)
        {
            loop_.stop();
        }
    }

    void collect()
    {
        for (auto const& it : generations_)
        {
            report_.generations.push_back(it->result());
        }
        for (auto const& it : plain_)
        {
            auto& to = it->is_order() ? report_.orders : report_.lookups;
            to.push_back(it->result());
        }
    }

    load_options const& options_;
    std::vector<planned_call> plan_;
    net::event_loop loop_;
    time_point began_;
    load_report report_;
    std::size_t next_ = 0;
    std::size_t over_ = 0;
    std::size_t asked_ = 0;
    net::timer arrival_;
    std::vector<std::unique_ptr<generation_caller>> generations_;
    std::vector<std::unique_ptr<plain_caller>> plain_;
    std::vector<std::unique_ptr<net::http_call>> fetches_;
};

} // namespace

auto run(load_options const& options) -> load_report
{
    return driver{options}.run();
}

} // namespace primrosedeal::load
