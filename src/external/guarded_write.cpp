#include "external/guarded_write.hpp"

// A write that may have left can arrive at any later time, so "the key is
// unchanged" never proves that it won't happen. Only a changed key without
// the writer's mark does: the guard then fails for good.
namespace primrosedeal::external
{

auto guarded_write::wait(random_source& random) -> write_step
{
    if (tries_ == max_tries_)
    {
        return may_have_left_ ? write_outcome::unknown
                              : write_outcome::not_applied;
    }
    return wait_then_read{full_jitter(backoff_, tries_++, random)};
}

auto guarded_write::judge(guard_view const& view) const -> write_step
{
    if (view.shows_write)
    {
        return write_outcome::applied;
    }
    if (view.modified == expected_)
    {
        return send_write{};
    }
    if (may_have_left_ && !view.history_complete)
    {
        return write_outcome::unknown;
    }
    return write_outcome::not_applied;
}

auto guarded_write::on_written() -> write_step
{
    return write_outcome::applied;
}

auto guarded_write::on_condition_failed(guard_view const& view) -> write_step
{
    auto const next = judge(view);
    if (!std::holds_alternative<send_write>(next))
    {
        return next;
    }
    // Another condition than the guard's failed; the writer mends that and
    // sends the same write again.
    if (tries_ == max_tries_)
    {
        return may_have_left_ ? write_outcome::unknown
                              : write_outcome::not_applied;
    }
    ++tries_;
    return next;
}

auto guarded_write::on_write_failure(call_fault fault, random_source& random)
    -> write_step
{
    may_have_left_ =
        may_have_left_ || verdict_of(fault) == verdict::may_have_run;
    return wait(random);
}

auto guarded_write::on_read(guard_view const& view) -> write_step
{
    return judge(view);
}

auto guarded_write::on_read_failure(random_source& random) -> write_step
{
    return wait(random);
}

} // namespace primrosedeal::external
