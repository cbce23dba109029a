#include "stream_origin/served_versions.hpp"

#include "stream_origin/origin_table.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <exception>
#include <vector>

namespace primrosedeal::stream_origin
{

namespace
{

// Bounds against input that declares more elements than a rollout has versions.
constexpr auto max_versions = std::size_t{256};
constexpr auto max_text = std::size_t{1024};
constexpr auto max_depth = std::size_t{2};

} // namespace

auto encode(version_set const& it) -> std::string
{
    auto names = std::vector<std::string>{};
    for (auto const& version : it)
    {
        names.push_back(version.value());
    }
    auto buf = msgpack::sbuffer{};
    msgpack::pack(buf, names);
    return {buf.data(), buf.size()};
}

auto decode_versions(std::string const& bytes) -> std::optional<version_set>
{
    try
    {
        auto const handle = msgpack::unpack(
            bytes.data(), bytes.size(), nullptr, nullptr,
            msgpack::unpack_limit(max_versions, 0, max_text, 0, 0, max_depth));
        auto out = version_set{};
        for (auto& name : handle.get().as<std::vector<std::string>>())
        {
            out.emplace(std::move(name));
        }
        return out;
    }
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

void served_versions::apply(service_id const& service,
                            std::optional<version_set> const& versions)
{
    records_[service].versions = versions;
}

auto served_versions::recorded(service_id const& service) const
    -> version_set const&
{
    static auto const none = version_set{};
    auto const found = records_.find(service);
    return found == records_.end() || !found->second.versions
               ? none
               : *found->second.versions;
}

auto served_versions::all_recorded() const -> versions_by_service
{
    auto out = versions_by_service{};
    for (auto const& [service, it] : records_)
    {
        if (it.versions && !it.versions->empty())
        {
            out[service] = *it.versions;
        }
    }
    return out;
}

auto served_versions::several_recorded() const -> bool
{
    return std::any_of(records_.begin(), records_.end(),
                       [](auto const& it)
                       {
                           auto const& versions = it.second.versions;
                           return versions && versions->size() > 1;
                       });
}

auto served_versions::next_write(versions_by_service const& listed,
                                 std::size_t hosts_ahead, time_point now)
    -> std::optional<record_write>
{
    auto const delay =
        std::min(record_write_slot * static_cast<duration::rep>(hosts_ahead),
                 max_record_write_delay);
    for (auto const& [service, versions] : with_unlisted(listed))
    {
        auto& it = records_[service];
        auto out = wanted(it, versions, now);
        if (out == it.versions.value_or(version_set{}))
        {
            it.incomplete_since.reset();
            continue;
        }
        it.incomplete_since = it.incomplete_since.value_or(now);
        if (now >= *it.incomplete_since + delay && now >= it.next_write_at)
        {
            it.next_write_at = now + record_write_retry;
            return record_write{service, std::move(out)};
        }
    }
    return std::nullopt;
}

auto served_versions::wanted(record& it, version_set const& listed,
                             time_point now) -> version_set
{
    auto recorded = it.versions.value_or(version_set{});
    recorded.insert(it.before_restoration.begin(), it.before_restoration.end());
    std::erase_if(it.unlisted_since,
                  [&](auto const& each) {
                      return listed.contains(each.first) ||
                             !recorded.contains(each.first);
                  });
    auto out = listed;
    for (auto const& version : recorded)
    {
        if (listed.contains(version))
        {
            continue;
        }
        auto const since = it.unlisted_since.emplace(version, now).first;
        if (now - since->second <= origin_lifetime)
        {
            out.insert(version);
        }
    }
    std::erase_if(it.before_restoration,
                  [&](auto const& version)
                  {
                      return !out.contains(version) ||
                             (it.versions && it.versions->contains(version));
                  });
    return out;
}

auto served_versions::with_unlisted(versions_by_service listed) const
    -> versions_by_service
{
    for (auto const& [service, it] : records_)
    {
        listed.try_emplace(service);
    }
    return listed;
}

auto served_versions::complete(versions_by_service const& listed,
                               time_point now) -> bool
{
    auto const services = with_unlisted(listed);
    return std::all_of(services.begin(), services.end(),
                       [&](auto const& each)
                       {
                           auto& it = records_[each.first];
                           auto const out = wanted(it, each.second, now);
                           auto const has = it.versions.value_or(version_set{});
                           return std::includes(has.begin(), has.end(),
                                                out.begin(), out.end());
                       });
}

void served_versions::store_restored()
{
    for (auto& [service, it] : records_)
    {
        if (it.versions)
        {
            it.before_restoration.insert(it.versions->begin(),
                                         it.versions->end());
        }
    }
}

void served_versions::contact_lost()
{
    for (auto& [service, it] : records_)
    {
        it.unlisted_since.clear();
        it.incomplete_since.reset();
    }
}

} // namespace primrosedeal::stream_origin
