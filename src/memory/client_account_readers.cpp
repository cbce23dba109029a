#include "memory/client_account.hpp"

// What clients have not read yet.
namespace primrosedeal::memory
{

void client_account::unsent(connection_number id, std::size_t bytes, bool taken,
                            time_point now)
{
    auto const found = entries_.find(id);
    if (found == entries_.end())
    {
        return;
    }
    auto& it = found->second;
    if (taken || it.unsent == 0)
    {
        it.taken_at = now;
    }
    usage_.unsent = usage_.unsent - it.unsent + bytes;
    it.unsent = bytes;
}

auto client_account::slowest_reader() const -> std::optional<connection_number>
{
    if (usage_.unsent <= limits_.bytes.unsent)
    {
        return std::nullopt;
    }
    auto out = std::optional<connection_number>{};
    auto since = time_point::max();
    for (auto const& [id, it] : entries_)
    {
        if (it.unsent > 0 && it.taken_at < since)
        {
            out = id;
            since = it.taken_at;
        }
    }
    return out;
}

auto client_account::readers_press() const -> bool
{
    return usage_.unsent > limits_.bytes.unsent / 2;
}

} // namespace primrosedeal::memory
