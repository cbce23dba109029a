#pragma once

#include "configuration/edit.hpp"
#include "configuration/follower.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// For tests: one key-value service, operators who race and hosts that
/// follow, with every order of steps, losses and cuts chosen from outside.
/// The service keeps all that was ever accepted, one document after another:
/// the obvious reference that the machines are compared with.
namespace primrosedeal::configuration
{

struct accepted_entry
{
    encoded_document encoded;
    document content;
};

class reference_store
{
public:
    bool up = true;
    std::vector<accepted_entry> log;

    [[nodiscard]] auto view() const -> document_view
    {
        if (log.empty())
        {
            return {};
        }
        return {log.back().content, modified_};
    }

    void put_parts(write_document const& it)
    {
        for (auto const& [name, content] : it.content.parts)
        {
            parts_[name] = content;
        }
    }

    auto swap_head(write_document const& it) -> bool
    {
        for (auto const& [name, content] : it.content.parts)
        {
            if (!parts_.contains(name))
            {
                return false;
            }
        }
        if (modified_ != it.expected)
        {
            return false;
        }
        // Other keys are written in between, so revisions have gaps.
        modified_ = external::store_revision{modified_.value() + 3};
        log.push_back({it.content, decode(it.content.head, it.content.parts)});
        return true;
    }

    /// Removes parts that the head doesn't name.
    void prune()
    {
        if (log.empty())
        {
            return;
        }
        std::erase_if(parts_, [&](auto const& it)
                      { return !log.back().encoded.parts.contains(it.first); });
    }

    [[nodiscard]] auto parts(std::vector<part_name> const& names) const
        -> std::map<part_name, std::string>
    {
        auto result = std::map<part_name, std::string>{};
        for (auto const& name : names)
        {
            auto const found = parts_.find(name);
            if (found != parts_.end())
            {
                result.insert(*found);
            }
        }
        return result;
    }

    [[nodiscard]] auto modified() const -> external::store_revision
    {
        return modified_;
    }

private:
    external::store_revision modified_{0};
    std::map<part_name, std::string> parts_;
};

/// How a call to the service goes.
enum class fate
{
    answered,
    /// Nothing was sent.
    not_sent,
    /// It took effect, the answer was lost.
    answer_lost,
    /// It is under way and may arrive much later, or never.
    delayed,
};

struct world_operator
{
    change_id id;
    std::vector<cell_change> changes;
    std::optional<edit> machine;
    edit_step step = read_document{};
    bool parts_written = false;
    /// Runs of the same edit that ended as unknown.
    unsigned unknown_runs = 0;

    [[nodiscard]] auto outcome() const -> edit_outcome const*
    {
        return std::get_if<edit_outcome>(&step);
    }
};

struct world_host
{
    host_id id;
    follower machine;
    bool watching = false;
    bool cut_from_store = false;
    bool cut_from_peers = false;
    /// Entries of the log that its watch has delivered.
    std::size_t watched = 0;
    revision highest;
};

class control_world
{
public:
    using planner =
        std::function<std::vector<cell_change>(document const&, unsigned)>;

    control_world(unsigned operators, unsigned hosts, planner plan);

    /// Operator `n` goes one step on; its next call fares as `it`.
    void step_operator(unsigned n, fate it);
    /// A delayed write arrives now.
    void deliver_delayed(unsigned n);
    void tick_host(unsigned n, bool store_answers);
    /// Host `n` hears of host `m`'s revision and may fetch it.
    void gossip(unsigned n, unsigned m, bool answered);
    /// Host `n` is replaced by one that knows nothing.
    void restart_host(unsigned n);
    /// All edits have ended and all hosts have the last revision.
    [[nodiscard]] auto settled() const -> bool;
    /// All faults end, and everybody goes on until nothing changes.
    void heal_and_settle();

    reference_store store;
    std::vector<world_operator> operators;
    std::vector<world_host> hosts;
    time_point now{};
    std::vector<std::string> faults;

private:
    void begin(world_operator& it, unsigned n);
    void write(world_operator& it, write_document const& write, fate how);
    void run(unsigned n, follower_steps const& steps, bool store_answers);
    void read_head_for(unsigned n, read_head_step const& step, bool answers);
    void note_revision(world_host& it);

    planner plan_;
    std::vector<write_document> delayed_;
    random_source random_{11};
    unsigned starts_ = 0;
};

} // namespace primrosedeal::configuration
