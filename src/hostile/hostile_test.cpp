#include "configuration/yaml.hpp"
#include "core/random.hpp"
#include "core/verdict.hpp"
#include "entry/completion_request.hpp"
#include "generation/engine_codec.hpp"
#include "membership/message.hpp"
#include "order/order_key.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <string_view>
#include <vector>

// Input that nobody well-meaning sends. Fixed seeds and iterations; run it
// under the sanitizers too (CONTRIBUTING.md).

namespace primrosedeal
{
namespace
{

constexpr auto iterations = 3'000;

struct named_input
{
    std::string_view name;
    std::string text;
};

auto const good_body = std::string{
    R"({"model":"fitting","version":"1","prompt":[1,2,3],"max_tokens":8})"};

auto nested(std::size_t depth) -> std::string
{
    return std::string(depth, '[') + std::string(depth, ']');
}

auto body_with(std::string const& member) -> std::string
{
    return good_body.substr(0, good_body.size() - 1) + "," + member + "}";
}

auto hostile_bodies() -> std::vector<named_input>
{
    return {
        {"nothing", ""},
        {"one blank", " "},
        {"no JSON", "hello"},
        {"cut in the middle", good_body.substr(0, 30)},
        {"cut before the end", good_body.substr(0, good_body.size() - 1)},
        {"two documents", good_body + good_body},
        {"an array", "[1,2,3]"},
        {"a number", "42"},
        {"null", "null"},
        {"an empty object", "{}"},
        {"100,000 brackets", nested(100'000)},
        {"brackets without an end", std::string(100'000, '[')},

        {"invalid UTF-8 in a name", "{\"model\":\"\xff\xfe\",\"version\":\"1\","
                                    "\"prompt\":[1],\"max_tokens\":8}"},
        {"an overlong UTF-8 form", "{\"model\":\"\xc0\xaf\",\"version\":\"1\","
                                   "\"prompt\":[1],\"max_tokens\":8}"},
        {"half a surrogate pair",
         R"({"model":"\ud800","version":"1","prompt":[1],"max_tokens":8})"},
        {"a name as a number",
         R"({"model":7,"version":"1","prompt":[1],"max_tokens":8})"},
        {"a prompt as an object",
         R"({"model":"f","version":"1","prompt":{},"max_tokens":8})"},
        {"a negative token",
         R"({"model":"f","version":"1","prompt":[-1],"max_tokens":8})"},
        {"a token past 32 bits",
         R"({"model":"f","version":"1","prompt":[4294967296],"max_tokens":8})"},
        {"a token with a fraction",
         R"({"model":"f","version":"1","prompt":[1.5],"max_tokens":8})"},
        {"a prompt of texts",
         R"({"model":"f","version":"1","prompt":["1"],"max_tokens":8})"},
        {"max_tokens below 0",
         R"({"model":"f","version":"1","prompt":[1],"max_tokens":-8})"},
        {"max_tokens past 64 bits",
         R"({"model":"f","version":"1","prompt":[1],)"
         R"("max_tokens":99999999999999999999999})"},
        {"max_tokens as 1e400",
         R"({"model":"f","version":"1","prompt":[1],"max_tokens":1e400})"},
        {"max_tokens as a text",
         R"({"model":"f","version":"1","prompt":[1],"max_tokens":"8"})"},
        {"an unknown field", body_with(R"("no_such_field":1)")},
        {"a temperature as a text", body_with(R"("temperature":"hot")")},
        {"a stop that is a number", body_with(R"("stop":5)")},
        {"a long name", R"({"model":")" + std::string(100'000, 'm') +
                            R"(","version":"1","prompt":[1],"max_tokens":8})"},
    };
}

auto hostile_documents() -> std::vector<named_input>
{
    return {
        {"nothing", ""},
        {"a scalar", "hello"},
        {"a list", "- 1\n- 2\n"},
        {"an unknown key", "no_such_key: 1\n"},
        {"a tab as indentation", "defaults:\n\tx: 1\n"},
        {"an open quote", "defaults: \"x\n"},
        {"an open flow", "defaults: {a: [1, 2\n"},
        {"an unknown anchor", "defaults: *nowhere\n"},
        {"brackets without an end", std::string(2'000, '[')},
        {"a NUL", std::string("defaults:\0 1\n", 13)},
        {"invalid UTF-8", "defaults: \xff\xfe\n"},
        {"services as a map", "services: {a: b}\n"},
        {"models as a text", "models: fitting\n"},
        {"exceptions as a number", "exceptions: 7\n"},
    };
}

/// The reason that `body` is refused with; empty if it is taken.
auto refusal_of(std::string_view body) -> std::string
{
    try
    {
        entry::parse_completion(body, {});
        return {};
    }
    catch (request_error const& e)
    {
        BOOST_TEST((e.what_failed().ran == verdict::not_run));
        BOOST_TEST(!e.what_failed().text.empty());
        return std::string{to_string(e.what_failed().code)};
    }
}

/// Whether `text` is refused with at least one line of finding.
auto is_refused_document(std::string_view text) -> bool
{
    try
    {
        configuration::read_yaml(text, "hostile.yaml");
        return false;
    }
    catch (configuration::yaml_error const& e)
    {
        BOOST_TEST(!e.lines().empty());
        return true;
    }
}

/// A few bytes changed, removed, repeated or put in.
auto mutated(std::string text, random_source& random) -> std::string
{
    for (auto n = 1 + random.below(4); n > 0; --n)
    {
        auto const at = random.below(text.size() + 1);
        auto const length = random.below(text.size() - at + 1);
        switch (random.below(4))
        {
        case 0:
            text.erase(at, random.below(8));
            break;
        case 1:
            text.insert(at, 1, static_cast<char>(random.below(256)));
            break;
        case 2:
            text.insert(at, text.substr(at, length % 64));
            break;
        default:
            if (at < text.size())
            {
                text[at] = static_cast<char>(random.below(256));
            }
        }
    }
    return text;
}

template <class Parse>
void feed_mutations(std::string const& good, std::uint64_t seed, int count,
                    Parse const& parse)
{
    auto random = random_source{seed};
    for (auto n = 0; n < count; ++n)
    {
        parse(mutated(good, random));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(hostile_input)

BOOST_AUTO_TEST_CASE(a_good_body_is_taken)
{
    BOOST_TEST(refusal_of(good_body).empty());
}

BOOST_AUTO_TEST_CASE(each_hostile_body_is_refused_as_not_run)
{
    for (auto const& each : hostile_bodies())
    {
        BOOST_TEST(!refusal_of(each.text).empty(), each.name);
    }
}

// The parser itself would stop at a NUL and take the rest for nothing.
BOOST_AUTO_TEST_CASE(bytes_after_a_nul_are_refused)
{
    BOOST_TEST(!refusal_of(good_body + std::string(1, '\0') + "{}").empty());
}

BOOST_AUTO_TEST_CASE(each_hostile_document_is_refused_with_a_finding)
{
    for (auto const& each : hostile_documents())
    {
        BOOST_TEST(is_refused_document(each.text), each.name);
    }
}

BOOST_AUTO_TEST_CASE(changed_bodies_are_taken_or_refused)
{
    feed_mutations(good_body, 1, iterations,
                   [](std::string const& it) { refusal_of(it); });
}

BOOST_AUTO_TEST_CASE(changed_documents_are_taken_or_refused)
{
    feed_mutations("domains: [luzon-a]\nservices:\n  - name: fitting\n"
                   "    kind: engine\nmodels: []\nexceptions: []\n",
                   2, iterations / 10,
                   [](std::string const& it) { is_refused_document(it); });
}

BOOST_AUTO_TEST_CASE(changed_engine_events_never_pass_for_another_request)
{
    auto const good =
        std::string{R"({"request":"r1","attempt":1,"offset":3,"tokens":[5,6],)"
                    R"("bytes":["IHc1","IHc2"]})"};
    feed_mutations(
        good, 3, iterations,
        [](std::string const& it)
        { generation::decode_event(it, request_id{"r1"}, attempt_id{1}); });
}

BOOST_AUTO_TEST_CASE(changed_engine_streams_are_bounded)
{
    auto splitter = generation::event_splitter{};
    auto const chunk = std::string(std::size_t{64} * 1024, 'x');
    auto fed = std::size_t{0};
    while (splitter.feed(chunk, [](std::string_view) {}))
    {
        fed += chunk.size();
        BOOST_REQUIRE(fed <= 2 * generation::event_splitter::max_event_bytes);
    }
}

BOOST_AUTO_TEST_CASE(changed_peer_messages_are_read_or_dropped)
{
    auto it = membership::message{};
    it.start = incarnation{3};
    it.subject = host_id{"luzon-a-1"};
    it.summary = membership::digest{};
    feed_mutations(membership::encode(it), 4, iterations,
                   [](std::string const& bytes) { membership::decode(bytes); });
    auto random = random_source{5};
    for (auto n = 0; n < iterations; ++n)
    {
        auto noise = std::string(random.below(200), '\0');
        for (auto& c : noise)
        {
            c = static_cast<char>(random.below(256));
        }
        membership::decode(noise);
    }
    BOOST_TEST(!membership::decode(
        std::string(membership::max_message_bytes + 1, '\0')));
}

BOOST_AUTO_TEST_CASE(changed_tickets_are_never_genuine)
{
    auto const owner = order::process_id{host_id{"a"}, incarnation{1}};
    auto const given = order::ticket{owner, order::ticket_serial{9}, {}};
    auto const organisation = organisation_id{"kigali"};
    auto const text = order::format_ticket(given, organisation, {});
    feed_mutations(text, 6, iterations,
                   [&](std::string const& it)
                   {
                       auto const parsed = order::parse_ticket(it);
                       auto const genuine =
                           parsed &&
                           order::is_authentic({organisation, it}, *parsed, {});
                       BOOST_TEST((!genuine || it == text));
                   });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal
