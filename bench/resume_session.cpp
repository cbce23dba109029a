#include "resume_session.hpp"

#include <algorithm>
#include <utility>

// Everything that would cross the network is an event a millisecond later, so
// machine and engines never call each other directly.

namespace primrosedeal::bench
{

namespace
{

constexpr auto link_delay = duration{1ms};
constexpr auto resume_priority = 100;
auto const service = service_id{"fitting"};
/// A host that does not answer a connection at all is given up after this.
constexpr auto connect_timeout = duration{500ms};

auto spec_of(request const& item) -> generation::spec
{
    auto it = generation::spec{};
    it.request = request_id{std::to_string(item.key)};
    it.selection = {model_id{"fitting"}, model_version{"1"}, adapter_id{}};
    it.prompt.resize(item.prompt->size() * tokens_per_block);
    it.max_tokens = token_count{item.length};
    it.priority = item.priority;
    it.deadline = item.at + 10s;
    return it;
}

auto token_at(request const& item, std::uint32_t offset) -> token_id
{
    constexpr auto vocabulary = 50'000U;
    return token_id{
        static_cast<std::uint32_t>(mix64(item.key + offset) % vocabulary)};
}

} // namespace

auto to_string(resume_kind it) -> std::string
{
    switch (it)
    {
    case resume_kind::restart:
        return "restart";
    case resume_kind::random_target:
        return "random target";
    case resume_kind::latency:
        return "latency";
    case resume_kind::resource:
        return "resource";
    }
    return "unknown";
}

auto policy_of(resume_kind it) -> generation::resume_policy
{
    auto policy = generation::resume_policy{};
    if (it == resume_kind::random_target || it == resume_kind::restart)
    {
        policy.probe_before_abandoning = false;
        policy.silence_ceiling = policy.silence_floor;
    }
    policy.resume_first_token_ceiling = 5s;
    if (it == resume_kind::restart)
    {
        // It says nothing new until it has made again what was relayed.
        policy.resume_first_token_ceiling = 10min;
    }
    if (it == resume_kind::latency)
    {
        policy.early_second_attempt_after = 400ms;
    }
    if (it == resume_kind::resource)
    {
        policy.silence_floor = 1s;
        policy.silence_ceiling = 1500ms;
    }
    return policy;
}

resume_session::resume_session(resume_world& world, request const& item,
                               bool poison)
    : world_(world), item_(item), poison_(poison),
      machine_(spec_of(item), policy_of(world.kind))
{
}

auto resume_session::host() -> resume_host&
{
    return world_.hosts[item_.host];
}

auto resume_session::organisation() const -> organisation_id
{
    return organisation_id{organisation_name(item_.organisation)};
}

void resume_session::start()
{
    host().retries.request(service, organisation());
    perform(machine_.start(world_.queue.now()));
    set_timer();
}

void resume_session::feed(generation::any_event const& it)
{
    if (!machine_.ended())
    {
        perform(machine_.on_event(it, world_.queue.now()));
        set_timer();
    }
}

void resume_session::feed_later(duration delay, generation::any_event it)
{
    auto self = shared_from_this();
    world_.queue.after(delay, [self, it = std::move(it)] { self->feed(it); });
}

void resume_session::set_timer()
{
    auto const at = machine_.wake_at();
    if (!at || (timer_ && *timer_ <= *at))
    {
        return;
    }
    timer_ = at;
    auto self = shared_from_this();
    world_.queue.at(*at, [self, at] { self->on_timer(*at); });
}

void resume_session::on_timer(time_point at)
{
    if (timer_ != at)
    {
        return;
    }
    timer_.reset();
    auto const due = machine_.wake_at();
    if (due && *due <= world_.queue.now())
    {
        feed(generation::event::timer{});
        return;
    }
    set_timer();
}

void resume_session::perform(std::vector<generation::any_action> const& actions)
{
    for (auto const& it : actions)
    {
        std::visit([this](auto const& each) { act(each); }, it);
    }
}

auto resume_session::choose(generation::action::choose_target const& it)
    -> routing::outcome
{
    auto& its = host();
    auto const blind = world_.kind == resume_kind::restart ||
                       world_.kind == resume_kind::random_target;
    auto exclude = it.exclude;
    auto item = routing::routing_request{};
    item.model = model_id{"fitting"};
    item.version = model_version{"1"};
    item.blocks = *item_.prompt;
    item.priority = item_.priority;
    item.own_domain = domain_of(item_.host, 3);
    item.resume = it.resuming;
    item.preferred = it.prefer;
    while (true)
    {
        item.excluded = exclude;
        auto made = its.router.choose(item, its.targets, world_.queue.now(),
                                      world_.random);
        auto const* yes = std::get_if<routing::choice>(&made);
        if (yes == nullptr || !it.resuming)
        {
            return made;
        }
        auto const& all = its.targets;
        if (blind)
        {
            auto const n = world_.random.below(all.size());
            return routing::choice{all[n].id, routing::choice_cause::spread,
                                   false};
        }
        auto const n = world_.engines->index(yes->target);
        if (its.budget.take(yes->target, all[n].domain, world_.queue.now()))
        {
            return made;
        }
        exclude.push_back(yes->target);
    }
}

void resume_session::act(generation::action::choose_target const& it)
{
    if (it.retry)
    {
        broken_with_output_ = had_output_;
    }
    // Later choices of the same loss carry its cause too; with no attempt left
    // they are resumes.
    auto const beside = !open_.empty();
    if (beside && it.retry == retry_reason::early_second_attempt &&
        host().retries.retry(service, organisation()) !=
            retry::decision::allowed)
    {
        feed_later(duration{0},
                   generation::event::no_target{reason::retry_budget_exhausted,
                                                duration{1s}});
        return;
    }
    auto const made = choose(it);
    if (auto const* yes = std::get_if<routing::choice>(&made))
    {
        feed_later(duration{0}, generation::event::target_chosen{
                                    yes->target, model_version{"1"}});
        return;
    }
    feed_later(duration{0}, generation::event::no_target{std::get<reason>(made),
                                                         duration{1s}});
}

void resume_session::act(generation::action::start_attempt const& it)
{
    auto const target = world_.engines->index(it.target);
    auto work = engine_work{};
    work.key = item_.key;
    work.prompt = item_.prompt;
    work.length = item_.length;
    work.again = it.attempt.value() > 1;
    work.already_generated = static_cast<std::uint32_t>(it.prefix.size());
    auto const prefix = work.already_generated;
    if (world_.kind == resume_kind::restart)
    {
        work.already_generated = 0;
    }
    work.priority = prefix > 0 ? resume_priority : item_.priority;
    work.poison = poison_;
    auto routed = routing::routing_request{};
    routed.blocks = *item_.prompt;
    host().router.dispatched(it.target, routed, world_.queue.now());
    auto& open = open_[it.attempt];
    open.target = target;
    open.opened = world_.queue.now();
    auto const attempt = it.attempt;
    auto self = shared_from_this();
    world_.queue.after(link_delay,
                       [self, attempt, prefix, work = std::move(work)]
                       { self->connect(attempt, prefix, work); });
}

void resume_session::connect(attempt_id attempt, std::uint32_t prefix,
                             engine_work const& work)
{
    auto const found = open_.find(attempt);
    if (found == open_.end())
    {
        return;
    }
    auto& engine = world_.engines->engine(found->second.target);
    auto self = shared_from_this();
    auto const handle = engine.submit(
        work, [self, attempt, prefix](engine_event what, std::uint32_t offset)
        { self->on_engine(attempt, prefix, what, offset); });
    if (handle != 0)
    {
        found->second.handle = handle;
    }
    else
    {
        auto const unreachable = engine.unreachable();
        feed_later(unreachable ? connect_timeout : link_delay,
                   generation::event::attempt_lost{
                       attempt,
                       {unreachable ? retry_reason::silence
                                    : retry_reason::connection_refused,
                        true}});
    }
}

void resume_session::on_engine(attempt_id attempt, std::uint32_t prefix,
                               engine_event what, std::uint32_t offset)
{
    auto const found = open_.find(attempt);
    auto const silent =
        found == open_.end() || (found->second.opened < host().silent_before &&
                                 world_.queue.now() >= host().silent_before);
    if (silent || (what == engine_event::token && offset < prefix))
    {
        return;
    }
    switch (what)
    {
    case engine_event::token:
        feed_later(link_delay,
                   generation::event::chunk{
                       attempt, offset, {token_at(item_, offset)}, {"x"}});
        break;
    case engine_event::finished:
        feed_later(link_delay, generation::event::attempt_finished{
                                   attempt, offset, "length"});
        break;
    case engine_event::reset:
        feed_later(link_delay, generation::event::attempt_lost{
                                   attempt, {retry_reason::connection_reset}});
        break;
    }
}

void resume_session::end_attempt(attempt_id attempt)
{
    auto const found = open_.find(attempt);
    if (found == open_.end())
    {
        return;
    }
    auto const it = found->second;
    open_.erase(found);
    host().router.finished(host().targets[it.target].id, world_.queue.now());
    if (it.handle != 0)
    {
        auto& engine = world_.engines->engine(it.target);
        world_.queue.after(link_delay, [&engine, handle = it.handle]
                           { engine.cancel(handle); });
    }
}

void resume_session::act(generation::action::cancel_attempt const& it)
{
    end_attempt(it.attempt);
}

void resume_session::act(generation::action::relay const& it)
{
    auto const now = world_.queue.now();
    world_.figures.relayed += it.tokens.size();
    if (!had_output_ && item_.at > world_.fault_at)
    {
        world_.figures.first_tokens.push_back(to_seconds(now - item_.at));
    }
    had_output_ = true;
}

void resume_session::act(generation::action::probe const& it)
{
    auto const& engine =
        world_.engines->engine(world_.engines->index(it.target));
    if (engine.answers())
    {
        feed_later(2 * link_delay,
                   generation::event::probe_result{it.target, true});
    }
}

void resume_session::act(generation::action::finish const& it)
{
    while (!open_.empty())
    {
        end_attempt(open_.begin()->first);
    }
    if (it.failed)
    {
        auto& count =
            had_output_ ? world_.figures.failed : world_.figures.refused;
        ++count;
    }
}

void resume_session::act(generation::action::target_evidence const& it)
{
    ++world_.figures.losses;
    auto const n = world_.engines->index(it.target);
    host().targets[n].state = routing::target_state::suspect;
    host().suspect_since[n] = world_.queue.now();
}

void resume_session::act(generation::action::resumed const& it)
{
    if (broken_with_output_)
    {
        world_.figures.latencies.push_back(to_seconds(it.latency));
    }
}

} // namespace primrosedeal::bench
