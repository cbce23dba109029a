#pragma once

#include "core/random.hpp"
#include "net/http_message.hpp"

#include <optional>
#include <vector>

/// A balancer's stand-in: picks hosts at random, another one than last time
/// where there is one.
namespace primrosedeal::load
{

class host_picker
{
public:
    /// `hosts` is not empty and outlives the picker.
    host_picker(std::vector<net::endpoint> const& hosts, std::uint64_t seed)
        : hosts_(hosts), random_(seed)
    {
    }

    auto next() -> net::endpoint const&
    {
        auto place = random_.below(hosts_.size());
        if (last_ == place && hosts_.size() > 1)
        {
            auto const step = 1 + random_.below(hosts_.size() - 1);
            place = (place + step) % hosts_.size();
        }
        last_ = place;
        return hosts_[place];
    }

private:
    std::vector<net::endpoint> const& hosts_;
    random_source random_;
    std::optional<std::uint64_t> last_;
};

} // namespace primrosedeal::load
