#pragma once

#include "core/ids.hpp"
#include "external/key_value.hpp"
#include "net/http_client.hpp"

#include <map>
#include <optional>

/// The rate-limited store of model weights, asked before a load is ordered.
namespace primrosedeal::external
{

struct weights_answer
{
    /// The store would serve the weights now.
    bool available = false;
    /// Otherwise, when to ask again.
    duration retry_after{};
};

class weight_store
{
public:
    weight_store() = default;
    weight_store(weight_store const&) = delete;
    auto operator=(weight_store const&) -> weight_store& = delete;
    virtual ~weight_store() = default;

    virtual void ask(model_id const& model, model_version const& version,
                     answer_handler<weights_answer> done) = 0;
};

/// Over HTTP; many questions may be open at once.
class http_weight_store : public weight_store
{
public:
    http_weight_store(net::event_loop& loop, net::endpoint address,
                      duration timeout = 5s)
        : loop_(loop), address_(std::move(address)), timeout_(timeout)
    {
    }

    void ask(model_id const& model, model_version const& version,
             answer_handler<weights_answer> done) override;

private:
    net::event_loop& loop_;
    net::endpoint address_;
    duration timeout_;
    std::uint64_t next_ = 0;
    std::map<std::uint64_t, std::unique_ptr<net::http_call>> calls_;
};

/// What the status and `Retry-After` of an answer mean.
auto read_weights_answer(net::http_response const& it)
    -> answer<weights_answer>;

} // namespace primrosedeal::external
