#pragma once

#include "http1/message.hpp"

#include <string>
#include <string_view>

namespace primrosedeal::http1
{

/// The head of a response as it is sent. `framing`: the field that tells how
/// its body ends. `close`: it says that it ends its connection.
auto serialise_head(response_head const& it, std::string_view framing,
                    bool close) -> std::string;

} // namespace primrosedeal::http1
