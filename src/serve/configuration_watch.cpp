#include "serve/configuration_watch.hpp"

#include "configuration/stored_form.hpp"
#include "log/log.hpp"

#include <algorithm>
#include <utility>

// Gossip says who has which revision; the document itself is fetched from
// that host by a call of its own, so the gossip keeps its byte budget.
namespace primrosedeal::serve
{

namespace
{

constexpr auto tick_period = duration{100ms};
constexpr auto reminder_period = duration{500ms};
constexpr auto max_announced = std::size_t{1024};

auto now() -> time_point
{
    return net::event_loop::now();
}

} // namespace

configuration_watch::configuration_watch(net::event_loop& loop,
                                         external::key_value_service& store,
                                         host_id self, std::uint64_t seed,
                                         configuration_watch_outputs outputs)
    : loop_(loop), store_(store), outputs_(std::move(outputs)), self_(self),
      follower_(std::move(self), {}, now(), seed), random_(seed)
{
    tick_ = loop_.after(0s, [this] { tick(); });
}

void configuration_watch::on_announcement(host_id const& peer, revision number)
{
    auto const known = announced_.count(peer) != 0;
    if (peer == self_ || (!known && announced_.size() >= max_announced))
    {
        return;
    }
    announced_[peer] = std::max(announced_[peer], number);
    perform(follower_.on_peer_revision(peer, number, now()));
}

/// Tells the follower again of one peer that is ahead.
void configuration_watch::remind()
{
    auto ahead = std::vector<host_id>{};
    for (auto const& [host, number] : announced_)
    {
        if (number > follower_.number())
        {
            ahead.push_back(host);
        }
    }
    if (ahead.empty())
    {
        return;
    }
    auto const& host = ahead[random_.below(ahead.size())];
    perform(follower_.on_peer_revision(host, announced_.at(host), now()));
}

auto configuration_watch::answer_peer(std::string const& request) const
    -> std::optional<std::string>
{
    auto const parsed = configuration::read_peer_request(request);
    if (!parsed)
    {
        return std::nullopt;
    }
    auto const found = follower_.answer(*parsed);
    return found ? std::optional{configuration::write_peer_answer(*found)}
                 : std::nullopt;
}

void configuration_watch::tick()
{
    perform(follower_.on_tick(now(), outputs_.domain_hosts()));
    if (now() >= next_reminder_)
    {
        next_reminder_ = now() + reminder_period;
        remind();
    }
    tick_ = loop_.after(tick_period, [this] { tick(); });
}

void configuration_watch::perform(configuration::follower_steps const& steps)
{
    for (auto const& it : steps)
    {
        std::visit([this](auto const& s) { perform_one(s); }, it);
    }
}

void configuration_watch::perform_one(configuration::read_head_step const& it)
{
    // The transaction writes nothing; it brings the value only if the head is
    // another than the one known (0: does not exist).
    auto const known = it.only_if_not.value_or(external::store_revision{0});
    auto request = external::transaction{};
    auto const key = std::string{configuration::head_key};
    request.conditions = {external::unchanged_since{key, known}};
    request.read_otherwise = {key};
    store_.commit(external::call_purpose::configuration_read, request,
                  [this, known](auto const& answer)
                  { on_head_answer(answer, known); });
}

void configuration_watch::on_head_answer(
    external::answer<external::transaction_result> const& it,
    external::store_revision known)
{
    auto const* const result = std::get_if<external::transaction_result>(&it);
    if (result == nullptr)
    {
        follower_.on_store_failure(now());
        return;
    }
    auto const absent = known.value() == 0 && result->succeeded;
    if (absent || (!result->succeeded && result->values.empty()))
    {
        follower_.on_head_absent(result->at, now());
        return;
    }
    if (result->succeeded)
    {
        follower_.on_head_unchanged(now());
        return;
    }
    auto const& head = result->values.front();
    perform(follower_.on_head(head.value, head.modified, now()));
}

void configuration_watch::perform_one(configuration::read_parts_step const& it)
{
    // The head exists, so the condition fails and all parts are read by one
    // call.
    auto request = external::transaction{};
    request.conditions = {external::unchanged_since{
        std::string{configuration::head_key}, external::store_revision{0}}};
    for (auto const& name : it.names)
    {
        request.read_otherwise.push_back(configuration::part_key(name));
    }
    store_.commit(external::call_purpose::configuration_read, request,
                  [this](auto const& answer)
                  {
                      auto const* const result =
                          std::get_if<external::transaction_result>(&answer);
                      if (result == nullptr)
                      {
                          follower_.on_store_failure(now());
                          return;
                      }
                      auto parts =
                          std::map<configuration::part_name, std::string>{};
                      for (auto const& each : result->values)
                      {
                          parts[configuration::part_name_of(each.value)] =
                              each.value;
                      }
                      perform(follower_.on_parts(parts, now()));
                  });
}

void configuration_watch::perform_one(configuration::open_watch_step const& it)
{
    auto handlers = external::watch_handlers{};
    handlers.on_event = [this](external::watch_event const& event)
    {
        on_watch_event(event);
    };
    handlers.on_open = [] {
    };
    handlers.on_end = [this](external::call_failure const&)
    {
        follower_.on_watch_end(now());
    };
    auto range = external::range_request{};
    range.key = configuration::head_key;
    watch_ = store_.watch_range(external::call_purpose::configuration_watch,
                                range, it.from, std::move(handlers));
}

void configuration_watch::on_watch_event(external::watch_event const& it)
{
    if (it.value)
    {
        perform(follower_.on_watch_value(it.value->value, it.value->modified,
                                         now()));
    }
}

void configuration_watch::perform_one(
    configuration::close_watch_step const& /*it*/)
{
    watch_.reset();
}

void configuration_watch::perform_one(configuration::ask_peer_step const& it)
{
    auto const peer = it.peer;
    outputs_.fetch(peer, configuration::write_peer_request(it.request),
                   [this, peer](std::optional<std::string> const& body)
                   {
                       auto const parsed =
                           body ? configuration::read_peer_answer(*body)
                                : std::nullopt;
                       if (!parsed)
                       {
                           follower_.on_peer_failure(peer, now());
                           return;
                       }
                       perform(follower_.on_peer_answer(*parsed, now()));
                   });
}

void configuration_watch::perform_one(configuration::adopted_step const& it)
{
    log::write(log::level::info, "configuration_in_force",
               {{"revision", std::to_string(it.number.value())}});
    auto view = std::make_shared<configuration_view>();
    view->document = *follower_.current();
    view->keys = configuration::key_index{view->document};
    outputs_.adopted({std::move(view)});
    if (follower_.holds_watch())
    {
        outputs_.announce(it.number);
    }
}

} // namespace primrosedeal::serve
