#include "membership/message.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <stdexcept>

// A message is encoded as a map from small integers to values, a record as an
// array to which later releases may append. Absent fields take their defaults,
// which keeps releases compatible in both directions. msgpack's limits on depth
// and sizes are enforced before memory is allocated for the input.
namespace primrosedeal::membership
{

namespace
{

enum field : std::uint8_t
{
    field_kind = 0,
    field_start = 1,
    field_request_id = 2,
    field_subject = 3,
    field_records = 4,
    field_summary = 5,
};

constexpr auto record_fields = 7U;
constexpr auto bytes_per_bucket = 4U;
constexpr auto digest_bytes = digest_buckets * bytes_per_bucket;

using buffer = msgpack::sbuffer;
using packer = msgpack::packer<buffer>;

void pack_text(packer& out, std::string_view it)
{
    out.pack_str(static_cast<std::uint32_t>(it.size()));
    out.pack_str_body(it.data(), static_cast<std::uint32_t>(it.size()));
}

void pack_bytes(packer& out, std::string_view it)
{
    out.pack_bin(static_cast<std::uint32_t>(it.size()));
    out.pack_bin_body(it.data(), static_cast<std::uint32_t>(it.size()));
}

void pack_record(packer& out, record const& it)
{
    out.pack_array(record_fields);
    out.pack_uint8(static_cast<std::uint8_t>(it.key.topic));
    pack_text(out, it.key.name);
    out.pack_uint64(it.version.epoch);
    out.pack_uint64(it.version.sequence);
    out.pack_uint8(static_cast<std::uint8_t>(it.urgency));
    pack_bytes(out, it.payload);
    // Lifetime and age share one field, which is empty for most records.
    out.pack_array(it.lifetime.count() == 0 ? 0 : 2);
    if (it.lifetime.count() != 0)
    {
        out.pack_uint64(static_cast<std::uint64_t>(it.lifetime.count()));
        out.pack_uint64(static_cast<std::uint64_t>(it.age.count()));
    }
}

auto digest_to_bytes(digest const& it) -> std::string
{
    auto out = std::string{};
    out.reserve(digest_bytes);
    for (auto const bucket : it)
    {
        for (auto n = 0U; n < bytes_per_bucket; ++n)
        {
            out.push_back(static_cast<char>(bucket >> (8U * n)));
        }
    }
    return out;
}

struct decode_error : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

void require(bool holds, char const* text)
{
    if (!holds)
    {
        throw decode_error(text);
    }
}

auto number_of(msgpack::object const& it) -> std::uint64_t
{
    require(it.type == msgpack::type::POSITIVE_INTEGER, "not a number");
    return it.via.u64;
}

auto small_number_of(msgpack::object const& it) -> std::uint8_t
{
    constexpr auto largest = 255U;
    auto const value = number_of(it);
    require(value <= largest, "number too large");
    return static_cast<std::uint8_t>(value);
}

auto seconds_of(msgpack::object const& it) -> std::chrono::seconds
{
    constexpr auto longest = std::uint64_t{366} * 24 * 3600;
    return std::chrono::seconds{
        static_cast<std::int64_t>(std::min(number_of(it), longest))};
}

auto text_of(msgpack::object const& it, std::size_t limit) -> std::string
{
    require(it.type == msgpack::type::STR, "not a string");
    require(it.via.str.size <= limit, "string too long");
    return {it.via.str.ptr, it.via.str.size};
}

auto bytes_of(msgpack::object const& it, std::size_t limit) -> std::string
{
    require(it.type == msgpack::type::BIN, "not a byte string");
    require(it.via.bin.size <= limit, "byte string too long");
    return {it.via.bin.ptr, it.via.bin.size};
}

auto array_of(msgpack::object const& it) -> msgpack::object_array
{
    require(it.type == msgpack::type::ARRAY, "not an array");
    return it.via.array;
}

auto record_of(msgpack::object const& it) -> record
{
    auto const fields = array_of(it);
    require(fields.size >= record_fields, "record too short");
    auto out = record{};
    auto const* at = fields.ptr;
    out.key.topic = static_cast<topic>(small_number_of(at[0]));
    out.key.name = text_of(at[1], max_key_bytes);
    out.version.epoch = number_of(at[2]);
    out.version.sequence = number_of(at[3]);
    auto const last = static_cast<std::uint8_t>(urgency::bulk);
    out.urgency = static_cast<urgency>(std::min(small_number_of(at[4]), last));
    out.payload = bytes_of(at[5], max_payload_bytes);
    auto const times = array_of(at[6]);
    if (times.size >= 2)
    {
        out.lifetime = seconds_of(times.ptr[0]);
        out.age = seconds_of(times.ptr[1]);
    }
    return out;
}

auto records_of(msgpack::object const& it) -> std::vector<record>
{
    auto const all = array_of(it);
    require(all.size <= max_records_per_message, "too many records");
    auto out = std::vector<record>{};
    out.reserve(all.size);
    for (auto n = 0U; n < all.size; ++n)
    {
        out.push_back(record_of(all.ptr[n]));
    }
    return out;
}

auto digest_of(msgpack::object const& it) -> digest
{
    auto const bytes = bytes_of(it, digest_bytes);
    require(bytes.size() == digest_bytes, "digest too short");
    auto out = digest{};
    for (auto n = std::size_t{0}; n < digest_bytes; ++n)
    {
        auto const byte = static_cast<unsigned char>(bytes[n]);
        out[n / bytes_per_bucket] |= static_cast<std::uint32_t>(byte)
                                     << (8U * (n % bytes_per_bucket));
    }
    return out;
}

auto kind_of(msgpack::object const& it) -> message_kind
{
    auto const last = static_cast<std::uint8_t>(message_kind::digest_reply);
    auto const value = small_number_of(it);
    return value > last ? message_kind::push : static_cast<message_kind>(value);
}

void read_field(message& out, std::uint64_t id, msgpack::object const& value)
{
    switch (id)
    {
    case field_kind:
        out.kind = kind_of(value);
        break;
    case field_start:
        out.start = incarnation{number_of(value)};
        break;
    case field_request_id:
        out.request_id = number_of(value);
        break;
    case field_subject:
        out.subject = host_id{text_of(value, max_key_bytes)};
        break;
    case field_records:
        out.records = records_of(value);
        break;
    case field_summary:
        out.summary = digest_of(value);
        break;
    default:
        break;
    }
}

auto read_message(std::string_view bytes) -> message
{
    constexpr auto max_depth = std::size_t{8};
    auto const limit = msgpack::unpack_limit{
        max_records_per_message, max_records_per_message, max_message_bytes,
        max_message_bytes,       max_message_bytes,       max_depth};
    auto const handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
    auto const& root = handle.get();
    require(root.type == msgpack::type::MAP, "not a map");
    auto out = message{};
    for (auto n = 0U; n < root.via.map.size; ++n)
    {
        auto const& pair = root.via.map.ptr[n];
        if (pair.key.type == msgpack::type::POSITIVE_INTEGER)
        {
            read_field(out, pair.key.via.u64, pair.val);
        }
    }
    return out;
}

} // namespace

auto encode(message const& it) -> std::string
{
    auto buf = buffer{};
    auto out = packer{buf};
    auto const has_subject = !it.subject.value().empty();
    auto const fields = 2U + (it.request_id != 0 ? 1 : 0) +
                        (has_subject ? 1 : 0) + (it.records.empty() ? 0 : 1) +
                        (it.summary ? 1 : 0);
    out.pack_map(fields);
    out.pack_uint8(field_kind);
    out.pack_uint8(static_cast<std::uint8_t>(it.kind));
    out.pack_uint8(field_start);
    out.pack_uint64(it.start.value());
    if (it.request_id != 0)
    {
        out.pack_uint8(field_request_id);
        out.pack_uint64(it.request_id);
    }
    if (has_subject)
    {
        out.pack_uint8(field_subject);
        pack_text(out, it.subject.value());
    }
    if (!it.records.empty())
    {
        out.pack_uint8(field_records);
        out.pack_array(static_cast<std::uint32_t>(it.records.size()));
        for (auto const& record : it.records)
        {
            pack_record(out, record);
        }
    }
    if (it.summary)
    {
        out.pack_uint8(field_summary);
        pack_bytes(out, digest_to_bytes(*it.summary));
    }
    return {buf.data(), buf.size()};
}

auto encoded_bytes(record const& it) -> std::size_t
{
    constexpr auto fixed = std::size_t{48};
    return fixed + it.key.name.size() + it.payload.size();
}

auto decode(std::string_view bytes) -> std::optional<message>
{
    if (bytes.empty() || bytes.size() > max_message_bytes)
    {
        return std::nullopt;
    }
    try
    {
        return read_message(bytes);
    }
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace primrosedeal::membership
