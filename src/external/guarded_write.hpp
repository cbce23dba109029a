#pragma once

#include "external/backoff.hpp"
#include "external/key_value.hpp"

#include <variant>

/// The course of one compare-and-swap whose answers may be lost.
///
/// The write is guarded by the revision of one key, so the service carries it
/// out at most once however often it is sent. A lost answer is resolved by
/// reading the key: the writer tells from the value whether it is its own.
/// Only while the key is unchanged is the same write sent again.
namespace primrosedeal::external
{

struct send_write
{
};
struct send_read
{
};
/// Call `on_wait_over` after `how_long`.
struct wait_then_read
{
    duration how_long;
};

enum class write_outcome
{
    /// It took effect.
    applied,
    /// It did not and never will.
    not_applied,
    /// Still not known after all tries; it may take effect or have done so.
    unknown,
};

using write_step =
    std::variant<send_write, send_read, wait_then_read, write_outcome>;

/// What a read of the guarded key showed.
struct guard_view
{
    store_revision modified;
    /// The value, or its history, holds this writer's mark.
    bool shows_write = false;
    /// The value's history reaches back to this write's guard, so that a
    /// missing mark proves that it did not happen.
    bool history_complete = true;
};

class guarded_write
{
public:
    /// `expected` is the revision that the write requires of the key.
    /// `sent_before`: an earlier process may have sent the same write, so
    /// that it may still arrive though this one sends nothing.
    guarded_write(store_revision expected, unsigned max_tries,
                  backoff_settings backoff, bool sent_before = false)
        : expected_(expected), max_tries_(max_tries), backoff_(backoff),
          may_have_left_(sent_before)
    {
    }

    static auto start() -> write_step
    {
        return send_write{};
    }

    /// The write succeeded.
    auto on_written() -> write_step;
    /// The write's condition failed, and the key was as in `view`.
    auto on_condition_failed(guard_view const& view) -> write_step;
    auto on_write_failure(call_fault fault, random_source& random)
        -> write_step;
    auto on_read(guard_view const& view) -> write_step;
    auto on_read_failure(random_source& random) -> write_step;

    static auto on_wait_over() -> write_step
    {
        return send_read{};
    }

private:
    auto wait(random_source& random) -> write_step;
    auto judge(guard_view const& view) const -> write_step;

    store_revision expected_;
    unsigned max_tries_;
    backoff_settings backoff_;
    unsigned tries_ = 0;
    bool may_have_left_;
};

} // namespace primrosedeal::external
