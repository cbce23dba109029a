#include "configuration/document.hpp"

#include <algorithm>
#include <openssl/sha.h>

// Of the exceptions that apply to one piece of work, the narrower wins. Width
// is ranked by which parts of the scope are given: organisation before
// service before failure domain. A scope that contains another always ranks
// below it, and `check` refuses two scopes that cross without a third for
// their intersection, so the rank decides only what it should.
namespace primrosedeal::configuration
{
namespace
{

constexpr auto rank_count = 8U;

auto rank(exception_scope const& it) -> unsigned
{
    return (it.organisation ? 4U : 0U) + (it.service ? 2U : 0U) +
           (it.domain ? 1U : 0U);
}

template <class Id>
auto covers(std::optional<Id> const& part, Id const& it) -> bool
{
    return !part || *part == it;
}

auto nibble(char ch) -> int
{
    if (ch >= '0' && ch <= '9')
    {
        return ch - '0';
    }
    if (ch >= 'a' && ch <= 'f')
    {
        return ch - 'a' + 10;
    }
    return -1;
}

auto expired(exception_entry const& it, wall_time now) -> bool
{
    return it.expires && *it.expires <= now;
}

} // namespace

auto parse_key_hash(std::string_view text) -> std::optional<key_hash>
{
    auto hash = key_hash{};
    if (text.size() != 2 * hash.size())
    {
        return std::nullopt;
    }
    for (auto i = std::size_t{0}; i < hash.size(); ++i)
    {
        auto const high = nibble(text[2 * i]);
        auto const low = nibble(text[2 * i + 1]);
        if (high < 0 || low < 0)
        {
            return std::nullopt;
        }
        hash[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return hash;
}

auto format_key_hash(key_hash const& it) -> std::string
{
    constexpr auto digits = std::string_view{"0123456789abcdef"};
    auto text = std::string{};
    text.reserve(2 * it.size());
    for (auto byte : it)
    {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

auto hash_key(std::string_view bearer_key) -> key_hash
{
    auto hash = key_hash{};
    SHA256(reinterpret_cast<unsigned char const*>(bearer_key.data()),
           bearer_key.size(), hash.data());
    return hash;
}

auto is_order_path(service const& it, std::string_view path) -> bool
{
    auto const matches = [&](std::string_view pattern)
    {
        if (pattern.ends_with('*'))
        {
            return path.starts_with(pattern.substr(0, pattern.size() - 1));
        }
        return path == pattern;
    };
    return std::ranges::any_of(it.order_paths, matches);
}

auto find_service(document const& it, service_id const& name) -> service const*
{
    auto const found = std::ranges::find(it.services, name, &service::name);
    return found == it.services.end() ? nullptr : &*found;
}

auto effective(document const& it, service_id const& service,
               organisation_id const& organisation, domain_id const& domain,
               wall_time now) -> policy
{
    auto result = it.defaults;
    for (auto wanted = 0U; wanted < rank_count; ++wanted)
    {
        for (auto const& entry : it.exceptions)
        {
            auto const& scope = entry.scope;
            if (rank(scope) != wanted || expired(entry, now) ||
                !covers(scope.organisation, organisation) ||
                !covers(scope.service, service) ||
                !covers(scope.domain, domain))
            {
                continue;
            }
            set(*find_field(entry.field), result, entry.value);
        }
    }
    // Floor and ceiling may come from exceptions of different scopes.
    auto& generation = result.generation;
    generation.silence_floor =
        std::min(generation.silence_floor, generation.silence_ceiling);
    return result;
}

auto next_expiry(document const& it, wall_time now) -> std::optional<wall_time>
{
    auto next = std::optional<wall_time>{};
    for (auto const& entry : it.exceptions)
    {
        if (entry.expires && *entry.expires > now &&
            (!next || *entry.expires < *next))
        {
            next = entry.expires;
        }
    }
    return next;
}

key_index::key_index(document const& it)
{
    organisations_.reserve(it.organisations.size());
    for (auto const& each : it.organisations)
    {
        auto const index = static_cast<std::uint32_t>(organisations_.size());
        organisations_.push_back(each.name);
        for (auto const& hash : each.keys)
        {
            entries_.push_back({hash, index});
        }
    }
    std::ranges::sort(entries_, {}, &entry::hash);
}

auto key_index::find(key_hash const& it) const -> organisation_id const*
{
    auto const found = std::ranges::lower_bound(entries_, it, {}, &entry::hash);
    if (found == entries_.end() || found->hash != it)
    {
        return nullptr;
    }
    return &organisations_[found->organisation];
}

} // namespace primrosedeal::configuration
