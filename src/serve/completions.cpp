#include "serve/completions.hpp"

#include "entry/answers.hpp"
#include "entry/completion_request.hpp"
#include "routing/prefix_blocks.hpp"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <utility>

// The status line goes out with the first token. Until then a refusal is a
// proper HTTP error; after it, a failure is told by the end event.
namespace primrosedeal::serve
{

struct parsed_completion
{
    entry::completion_request body;
    service_id service;
    configuration::policy policy;
};

namespace
{

constexpr auto max_routing_blocks = std::size_t{64};

auto parse(caller_request const& from, domain_id const& own_domain)
    -> parsed_completion
{
    auto const& document = from.configuration->document;
    auto it = parsed_completion{};
    auto bounds = entry::request_bounds{};
    auto const& widest = document.defaults.generation;
    bounds.max_prompt_tokens =
        std::max(bounds.max_prompt_tokens, widest.max_prompt_tokens.value());
    it.body = entry::parse_completion(from.http.body, bounds);
    auto const model = std::ranges::find(document.models, it.body.model,
                                         &configuration::declared_model::name);
    if (model == document.models.end())
    {
        refuse(reason::not_found, "model: no such model");
    }
    it.service = model->service;
    it.policy =
        configuration::effective(document, it.service, from.organisation,
                                 own_domain, net::event_loop::wall_now());
    return it;
}

void check_bounds(parsed_completion const& it)
{
    auto const& bounds = it.policy.generation;
    if (it.body.prompt.size() > bounds.max_prompt_tokens.value())
    {
        refuse(reason::prompt_too_long,
               absl::StrFormat("prompt: at most %d tokens were expected",
                               bounds.max_prompt_tokens.value()));
    }
    if (it.body.max_tokens > bounds.max_output_tokens)
    {
        refuse(reason::malformed_request,
               absl::StrFormat("max_tokens: at most %d was expected",
                               bounds.max_output_tokens.value()));
    }
}

auto resume_policy_of(configuration::generation_policy const& from)
    -> generation::resume_policy
{
    auto it = generation::resume_policy{};
    it.silence_floor = from.silence_floor;
    it.silence_ceiling = from.silence_ceiling;
    it.early_second_attempt_after = from.early_second_attempt_after;
    if (from.side == configuration::resume_side::resources)
    {
        it.probe_before_abandoning = true;
        // A second attempt beside a living target mostly computes in vain.
        it.first_token_ceiling = 2500ms;
        it.resume_first_token_ceiling = 1500ms;
    }
    else
    {
        it.probe_before_abandoning = false;
    }
    it.max_engine_failures =
        static_cast<std::uint32_t>(from.max_engine_failures);
    return it;
}

auto priority_of(parsed_completion const& it) -> int
{
    auto const own = static_cast<int>(it.policy.admission.priority);
    constexpr auto step = 2;
    switch (it.body.urgency.value_or(entry::priority::normal))
    {
    case entry::priority::low:
        return own - step;
    case entry::priority::normal:
        return own;
    case entry::priority::high:
        return own + step;
    }
    return own;
}

} // namespace

/// One caller's request and its session.
class completions::exchange
{
public:
    exchange(completions& owner, std::uint64_t number,
             caller_request const& from, parsed_completion const& it,
             generation::spec const& what, token_count estimated)
        : owner_(owner), number_(number), answer_(from.answer),
          organisation_(from.organisation), arrived_(from.arrived),
          stream_(it.body.stream), estimated_(estimated),
          session_(owner.loop_, what, resume_policy_of(it.policy.generation),
                   owner.services_, sink())
    {
        answer_->on_close([this] { caller_gone(); });
        answer_->on_drain([this] { session_.caller_ready(); });
    }

    void start()
    {
        session_.start();
    }

private:
    auto sink() -> generation::sink
    {
        return {[this](generation::action::relay const& it) { relay(it); },
                [this](generation::action::finish const& it)
                {
                    finish(it);
                }};
    }

    void relay(generation::action::relay const& it)
    {
        auto const now = net::event_loop::now();
        auto& counters = owner_.counters_;
        last_token_ ? counters.token_gap(now - *last_token_)
                    : counters.first_token(now - arrived_);
        last_token_ = now;
        counters.tokens_relayed(it.tokens.size());
        sent_ += it.tokens.size();
        if (!stream_)
        {
            tokens_.insert(tokens_.end(), it.tokens.begin(), it.tokens.end());
            text_ += it.text;
            return;
        }
        begin_stream();
        answer_->send(entry::token_event(it));
        if (answer_->buffered_bytes() > owner_.limits_.caller_buffer_bytes)
        {
            session_.caller_slow();
        }
    }

    void begin_stream()
    {
        if (std::exchange(begun_, true))
        {
            return;
        }
        answer_->start_stream(200, {{"Content-Type", "text/event-stream"},
                                    {"Cache-Control", "no-store"}});
        auto const& machine = session_.state();
        answer_->send(entry::start_event(machine.request(), machine.version()));
    }

    void finish(generation::action::finish const& it)
    {
        auto& counters = owner_.counters_;
        if (it.failed)
        {
            counters.refused(it.failed->code);
        }
        answer_->on_close(nullptr);
        answer_->on_drain(nullptr);
        send_end(it);
        auto const refused = it.failed && sent_ == 0;
        end(!it.failed ? metrics::outcome::complete
            : refused  ? metrics::outcome::refused
                       : metrics::outcome::incomplete);
    }

    void send_end(generation::action::finish const& it)
    {
        if (it.failed && !begun_ && tokens_.empty())
        {
            answer_->reply(entry::error_response(*it.failed));
            return;
        }
        if (!stream_)
        {
            auto const& machine = session_.state();
            answer_->reply(entry::whole_answer(
                machine.request(), machine.version(), tokens_, text_, it));
            return;
        }
        begin_stream();
        answer_->send(entry::end_event(it));
        answer_->finish();
    }

    void caller_gone()
    {
        session_.caller_disconnected();
        owner_.counters_.refused(reason::caller_gone);
        end(metrics::outcome::caller_gone);
    }

    void end(metrics::outcome how)
    {
        owner_.counters_.request_ended(metrics::request_kind::completion, how);
        auto const prompt = session_.state().request().prompt.size();
        owner_.admitter_.finished(organisation_, estimated_,
                                  token_count{prompt + sent_},
                                  net::event_loop::now());
        owner_.over(number_);
    }

    completions& owner_;
    std::uint64_t number_;
    std::shared_ptr<net::responder> answer_;
    organisation_id organisation_;
    time_point arrived_;
    bool stream_;
    token_count estimated_;
    generation::session session_;
    std::optional<time_point> last_token_;
    std::vector<token_id> tokens_;
    std::string text_;
    std::uint64_t sent_ = 0;
    bool begun_ = false;
};

completions::completions(net::event_loop& loop, host_id self,
                         domain_id own_domain, std::uint64_t seed,
                         completion_limits limits, placement& places,
                         admission::admitter& admitter,
                         metrics::process_metrics& counters,
                         report on_target_seen)
    : loop_(loop), self_(std::move(self)), own_domain_(std::move(own_domain)),
      random_(seed), limits_(limits), places_(places), admitter_(admitter),
      counters_(counters), on_target_seen_(std::move(on_target_seen)),
      services_(make_services())
{
}

completions::~completions() = default;

void completions::handle(caller_request const& it)
{
    auto const parsed = parse(it, own_domain_);
    check_bounds(parsed);
    if (exchanges_.size() >= limits_.max_open)
    {
        refuse(reason::too_many_streams,
               "this host serves as many requests as it may", 1s);
    }
    auto const what = to_spec(it, parsed);
    auto const estimated = token_count{what.prompt.size()} + what.max_tokens;
    admit(it, parsed, what, estimated);
    places_.request(what.service, it.organisation);
    auto const number = ++next_number_;
    auto& fresh = exchanges_[number];
    fresh =
        std::make_unique<exchange>(*this, number, it, parsed, what, estimated);
    counters_.open_requests(exchanges_.size());
    fresh->start();
}

auto completions::to_spec(caller_request const& from,
                          parsed_completion const& it) -> generation::spec
{
    auto what = generation::spec{};
    what.request =
        request_id{absl::StrFormat("%s-%016x", self_.value(), random_())};
    what.service = it.service;
    what.organisation = from.organisation;
    what.selection = {it.body.model, it.body.version, it.body.adapter};
    what.prompt = it.body.prompt;
    what.prior_tokens = it.body.resume_tokens;
    what.max_tokens = it.body.max_tokens;
    what.stop = it.body.stop;
    // Fixed by the first entry host, so that another engine, or another entry
    // host, continues with the same one.
    what.seed = it.body.seed.value_or(random_() >> 1U);
    what.temperature = it.body.temperature;
    what.priority = priority_of(it);
    what.deadline = from.arrived + it.body.deadline.value_or(
                                       it.policy.generation.default_deadline);
    return what;
}

void completions::admit(caller_request const& from, parsed_completion const& it,
                        generation::spec const& what, token_count estimated)
{
    auto const& limits = it.policy.admission;
    auto arrival = admission::admission_request{};
    arrival.organisation = from.organisation;
    arrival.limits.concurrency =
        static_cast<double>(limits.organisation_concurrency);
    arrival.limits.tokens_per_second =
        static_cast<double>(limits.organisation_tokens_per_second.value());
    arrival.limits.weight = limits.weight;
    arrival.estimated = estimated;
    arrival.priority = what.priority;
    arrival.deadline = what.deadline;
    auto const decision = admitter_.admit(arrival, from.arrived);
    if (auto const* const no = std::get_if<admission::refused>(&decision))
    {
        refuse(no->code,
               "the organisation's limits or the load do not allow this "
               "request now",
               no->retry_after);
    }
}

auto completions::make_services() -> generation::session_callbacks
{
    auto it = generation::session_callbacks{};
    it.choose = [this](generation::spec const& what,
                       generation::action::choose_target const& wanted)
    {
        return choose(what, wanted);
    };
    it.attempt_ended = [this](target_id const& target, generation::spec const&)
    {
        places_.finished(target, net::event_loop::now());
    };
    it.evidence =
        [this](target_id const& target, generation::attempt_loss const& loss)
    {
        on_evidence(target, loss);
    };
    it.resumed = [this](generation::action::resumed const& how)
    {
        counters_.resumed(how.cause, how.latency, how.recomputed.value());
    };
    it.dropped = [this](generation::action::chunk_dropped const& how)
    {
        counters_.chunk_dropped(how.stale_attempt);
    };
    return it;
}

auto completions::choose(generation::spec const& what,
                         generation::action::choose_target const& it)
    -> std::variant<generation::chosen_target, generation::event::no_target>
{
    auto const blocks = routing::prefix_blocks(what.prompt, max_routing_blocks);
    auto wanted = placement_request{};
    wanted.service = what.service;
    wanted.organisation = what.organisation;
    wanted.item.model = what.selection.model;
    wanted.item.version = it.version;
    wanted.item.adapter = what.selection.adapter;
    wanted.item.blocks = blocks;
    wanted.item.priority = what.priority;
    wanted.item.excluded = it.exclude;
    wanted.item.preferred = it.prefer;
    wanted.item.resume = it.resuming;
    wanted.retry = it.retry;
    auto const answer = places_.place(wanted, net::event_loop::now());
    if (auto const* const no = std::get_if<not_placed>(&answer))
    {
        return generation::event::no_target{no->code, no->retry_after};
    }
    auto const& found = std::get<placed>(answer);
    return generation::chosen_target{{found.target.what.id, found.version},
                                     found.target.at};
}

void completions::on_evidence(target_id const& target,
                              generation::attempt_loss const& loss)
{
    auto const* const known = places_.find(target);
    auto const overfull = loss.refused && loss.cause == retry_reason::silence;
    if (known == nullptr || overfull)
    {
        return;
    }
    if (loss.cause == retry_reason::target_leaving)
    {
        on_target_seen_(target::leaving_refusal{target, known->start});
        return;
    }
    auto const seen = [&]
    {
        switch (loss.cause)
        {
        case retry_reason::connection_refused:
            return target::outcome::refused;
        case retry_reason::silence:
            return target::outcome::silent;
        case retry_reason::target_error:
            return target::outcome::answered;
        default:
            return target::outcome::reset;
        }
    }();
    on_target_seen_(target::connection_outcome{target, known->start, seen});
}

/// Ends an exchange after the event that ended it has returned.
void completions::over(std::uint64_t number)
{
    loop_.post(
        [this, number]
        {
            exchanges_.erase(number);
            counters_.open_requests(exchanges_.size());
        });
}

} // namespace primrosedeal::serve
