#include "configuration/peer_form.hpp"

#include <array>
#include <nlohmann/json.hpp>

// A piece begins with its number and the count of pieces, four little-endian
// bytes each.
namespace primrosedeal::configuration
{
namespace
{

using nlohmann::json;

constexpr auto piece_header_bytes = std::size_t{8};

auto to_text(json const& it) -> std::string
{
    auto const bytes = json::to_cbor(it);
    return {bytes.begin(), bytes.end()};
}

auto binary(std::string const& it) -> json
{
    return json::binary({it.begin(), it.end()});
}

auto text_of(json const& it) -> std::string
{
    auto const& bytes = it.get_binary();
    return {bytes.begin(), bytes.end()};
}

void append_number(std::string& to, std::uint32_t it)
{
    for (auto shift = 0U; shift < 32; shift += 8)
    {
        to += static_cast<char>((it >> shift) & 0xffU);
    }
}

auto read_number(std::string_view from) -> std::uint32_t
{
    auto it = std::uint32_t{0};
    for (auto i = 0U; i < 4; ++i)
    {
        it |= std::uint32_t{static_cast<unsigned char>(from[i])} << (8 * i);
    }
    return it;
}

} // namespace

auto write_peer_request(peer_request const& it) -> std::string
{
    auto parts = json::array();
    for (auto const& name : it.parts)
    {
        parts.push_back(name.value());
    }
    return to_text({{"r", it.have.value()}, {"p", std::move(parts)}});
}

auto read_peer_request(std::string_view bytes) -> std::optional<peer_request>
{
    try
    {
        auto const body = json::from_cbor(bytes);
        auto result = peer_request{};
        result.have = revision{body.at("r").get<std::uint64_t>()};
        for (auto const& name : body.at("p"))
        {
            result.parts.emplace_back(name.get<std::string>());
        }
        return result;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

auto write_peer_answer(peer_answer const& it) -> std::string
{
    auto parts = json::array();
    for (auto const& [name, content] : it.parts)
    {
        parts.push_back(binary(content));
    }
    return to_text({{"h", binary(it.head)}, {"p", std::move(parts)}});
}

auto read_peer_answer(std::string_view bytes) -> std::optional<peer_answer>
{
    try
    {
        auto const body = json::from_cbor(bytes);
        auto result = peer_answer{};
        result.head = text_of(body.at("h"));
        for (auto const& each : body.at("p"))
        {
            auto content = text_of(each);
            auto name = part_name_of(content);
            result.parts.emplace(std::move(name), std::move(content));
        }
        return result;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

auto split_message(std::string_view message, byte_count budget)
    -> std::vector<std::string>
{
    auto const room =
        std::max(budget.value(), std::uint64_t{piece_header_bytes + 1}) -
        piece_header_bytes;
    auto const count =
        std::max(std::uint64_t{1}, (message.size() + room - 1) / room);
    auto pieces = std::vector<std::string>{};
    for (auto i = std::uint64_t{0}; i < count; ++i)
    {
        auto piece = std::string{};
        append_number(piece, static_cast<std::uint32_t>(i));
        append_number(piece, static_cast<std::uint32_t>(count));
        piece += message.substr(i * room, room);
        pieces.push_back(std::move(piece));
    }
    return pieces;
}

auto message_joiner::add(std::string_view piece) -> std::optional<std::string>
{
    auto const fits = piece.size() >= piece_header_bytes &&
                      bytes_.size() + piece.size() <= limit_.value();
    auto const index = fits ? read_number(piece) : 0;
    if (!fits || (index != next_ && index != 0))
    {
        bytes_.clear();
        next_ = 0;
        return std::nullopt;
    }
    if (index == 0)
    {
        bytes_.clear();
    }
    bytes_ += piece.substr(piece_header_bytes);
    next_ = index + 1;
    if (next_ != read_number(piece.substr(4)))
    {
        return std::nullopt;
    }
    next_ = 0;
    return std::exchange(bytes_, {});
}

} // namespace primrosedeal::configuration
