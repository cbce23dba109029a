#include "serve/lookups.hpp"

#include "entry/answers.hpp"

#include <utility>

// Callers of look-ups wait a few seconds at most, so the deadline is short and
// fixed. The answer is collected whole before it goes out: a target that
// breaks off in the middle must not leave half an answer with the caller.
namespace primrosedeal::serve
{

namespace
{

constexpr auto deadline_after = duration{3s};
constexpr auto longest_call = duration{5s};
constexpr auto max_open = std::size_t{4096};
constexpr auto max_answer_bytes = std::size_t{4} << 20U;

auto cause_of(net::call_error it) -> retry_reason
{
    return it == net::call_error::not_connected
               ? retry_reason::connection_refused
               : retry_reason::connection_reset;
}

} // namespace

/// One caller's look-up and its attempts.
class lookups::exchange
{
public:
    exchange(lookups& owner, std::uint64_t number, caller_request const& from,
             service_id service, std::string path)
        : owner_(owner), number_(number), answer_(from.answer),
          organisation_(from.organisation), service_(std::move(service)),
          path_(std::move(path)),
          decision_({}, service_, organisation_, from.arrived + deadline_after,
                    owner.places_.budget())
    {
        answer_->on_close([this] { end(metrics::outcome::caller_gone); });
    }

    ~exchange()
    {
        for (auto const& [id, it] : attempts_)
        {
            owner_.places_.finished(it.target, net::event_loop::now());
        }
    }

    exchange(exchange const&) = delete;
    auto operator=(exchange const&) -> exchange& = delete;

    void start()
    {
        perform(decision_.start(net::event_loop::now()));
        arm_timer();
    }

private:
    struct attempt
    {
        target_id target;
        std::unique_ptr<net::http_call> call;
    };

    void feed(lookup::event const& it)
    {
        perform(decision_.on_event(it, net::event_loop::now()));
        arm_timer();
    }

    void perform(lookup::actions const& actions)
    {
        for (auto const& it : actions)
        {
            std::visit([this](auto const& a) { perform_one(a); }, it);
        }
    }

    void perform_one(lookup::send const& it)
    {
        auto wanted = placement_request{};
        wanted.service = service_;
        wanted.organisation = organisation_;
        wanted.item.excluded = it.tried;
        auto const found = owner_.places_.place(wanted, net::event_loop::now());
        auto const id = it.attempt;
        auto const* const place = std::get_if<placed>(&found);
        if (place == nullptr)
        {
            owner_.loop_.post(
                [&owner = owner_, number = number_, id]
                {
                    auto const still = owner.open_.find(number);
                    if (still != owner.open_.end())
                    {
                        still->second->feed(lookup::no_target{id});
                    }
                });
            return;
        }
        if (it.cause)
        {
            owner_.counters_.retried(*it.cause);
        }
        decision_.note_target(id, place->target.what.id);
        send(id, place->target);
    }

    void send(attempt_id id, target_entry const& target)
    {
        auto request = net::http_request{};
        request.path = path_;
        auto limits = net::call_limits{};
        limits.connect_timeout = 500ms;
        limits.max_body_bytes = max_answer_bytes;
        auto call = net::fetch(
            owner_.loop_, target.at, request, longest_call,
            [this, id](net::http_response it)
            {
                close(id);
                feed(lookup::answered{id, it.status, std::move(it.body)});
            },
            [this, id](net::call_error error, bool may_have_sent)
            {
                close(id);
                feed(lookup::failed{id, cause_of(error), may_have_sent});
            },
            limits);
        attempts_[id] = {target.what.id, std::move(call)};
    }

    void perform_one(lookup::cancel const& it)
    {
        close(it.attempt);
    }

    void perform_one(lookup::finish const& it)
    {
        answer_->on_close(nullptr);
        if (auto const* const got = std::get_if<lookup::answered>(&it.result))
        {
            answer_->reply({got->status,
                            {{"Content-Type", "application/octet-stream"}},
                            got->body});
            end(metrics::outcome::complete);
            return;
        }
        auto const& why = std::get<failure>(it.result);
        owner_.counters_.refused(why.code);
        answer_->reply(entry::error_response(why));
        end(metrics::outcome::refused);
    }

    void close(attempt_id id)
    {
        auto const node = attempts_.extract(id);
        if (!node.empty())
        {
            owner_.places_.finished(node.mapped().target,
                                    net::event_loop::now());
        }
    }

    void end(metrics::outcome how)
    {
        owner_.counters_.request_ended(metrics::request_kind::lookup, how);
        owner_.over(number_);
    }

    void arm_timer()
    {
        auto const at = decision_.next_timer();
        if (!at || decision_.finished())
        {
            timer_.cancel();
            return;
        }
        timer_ = owner_.loop_.after(*at - net::event_loop::now(),
                                    [this] { feed(lookup::timer_due{}); });
    }

    lookups& owner_;
    std::uint64_t number_;
    std::shared_ptr<net::responder> answer_;
    organisation_id organisation_;
    service_id service_;
    std::string path_;
    lookup::look_up decision_;
    std::map<attempt_id, attempt> attempts_;
    net::timer timer_;
};

lookups::lookups(net::event_loop& loop, placement& places,
                 metrics::process_metrics& counters)
    : loop_(loop), places_(places), counters_(counters)
{
}

lookups::~lookups() = default;

void lookups::handle(caller_request const& from, service_id const& service,
                     std::string const& path)
{
    if (open_.size() >= max_open)
    {
        refuse(reason::overloaded,
               "this host serves as many look-ups as it may", 1s);
    }
    places_.request(service, from.organisation);
    auto const number = ++next_number_;
    auto& fresh = open_[number];
    fresh = std::make_unique<exchange>(*this, number, from, service, path);
    fresh->start();
}

/// Ends an exchange after the event that ended it has returned.
void lookups::over(std::uint64_t number)
{
    loop_.post([this, number] { open_.erase(number); });
}

} // namespace primrosedeal::serve
