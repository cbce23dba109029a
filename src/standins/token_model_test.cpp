#include "standins/token_model.hpp"

#include "core/random.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <set>

namespace primrosedeal::standins
{

namespace
{

auto some_request(std::uint64_t seed) -> generation_request
{
    auto random = random_source{seed};
    auto it = generation_request{};
    it.model = model_id{"fitting"};
    it.version = model_version{"1"};
    it.seed = random();
    it.max_tokens = 1 + random.below(200);
    for (auto n = random.below(40); n > 0; --n)
    {
        it.prompt.emplace_back(static_cast<std::uint32_t>(random.below(50000)));
    }
    if (random.below(3) == 0)
    {
        it.stop = {" w" + std::string(1, "123456789abc"[random.below(12)])};
    }
    return it;
}

/// The whole text at once, to compare with the token-by-token one.
auto text_of(token_list const& tokens) -> std::string
{
    auto text = std::string{};
    auto previous = std::optional<token_id>{};
    for (auto const& it : tokens)
    {
        text += token_bytes(previous, it);
        previous = it;
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_token_model)

BOOST_AUTO_TEST_CASE(gives_the_agreed_first_tokens)
{
    // Values of an independent implementation of the written rules.
    auto it = generation_request{};
    it.model = model_id{"m"};
    it.version = model_version{"1"};
    it.prompt = {token_id{1}};
    it.seed = 42;
    it.max_tokens = 3;
    auto const first =
        token_list{token_id{49606}, token_id{21805}, token_id{6019}};
    BOOST_TEST(token_digest(it.prompt) == 17595444997414146897U);
    BOOST_TEST((reference_answer(it).tokens == first));
}

BOOST_AUTO_TEST_CASE(splits_a_character_over_two_tokens)
{
    BOOST_TEST(token_bytes({}, token_id{97}) == "\xe2\x82");
    BOOST_TEST(token_bytes(token_id{97}, token_id{36}) == "\xac w10");
    BOOST_TEST(token_bytes(token_id{36}, token_id{35}) == " wz");
}

BOOST_AUTO_TEST_CASE(differs_by_each_part_of_the_request)
{
    auto firsts = std::set<token_list>{};
    auto base = some_request(1);
    base.stop.clear();
    base.max_tokens = 8;
    auto variants = std::vector<generation_request>(6, base);
    variants[1].model = model_id{"briefing"};
    variants[2].version = model_version{"2"};
    variants[3].adapter = adapter_id{"a"};
    variants[4].seed ^= 1U;
    variants[5].prompt.emplace_back(5);
    for (auto const& it : variants)
    {
        firsts.insert(reference_answer(it).tokens);
    }
    BOOST_TEST(firsts.size() == variants.size());
}

BOOST_AUTO_TEST_CASE(goes_on_from_any_prefix_to_the_same_answer)
{
    auto const ok = rc::check("splice at a random place",
                              [](std::uint64_t seed, std::uint32_t place)
                              {
                                  auto const request = some_request(seed);
                                  auto const whole = reference_answer(request);
                                  auto tokens = whole.tokens;
                                  tokens.resize(place % (tokens.size() + 1));
                                  auto stream = token_stream{request, tokens};
                                  while (!stream.finished())
                                  {
                                      tokens.push_back(stream.next().id);
                                  }
                                  RC_ASSERT(tokens == whole.tokens);
                                  RC_ASSERT(*stream.finished() == whole.finish);
                                  RC_ASSERT(stream.count() == tokens.size());
                              });
    BOOST_TEST(ok);
}

BOOST_AUTO_TEST_CASE(stops_at_the_first_stop_text_and_not_before)
{
    auto const ok = rc::check(
        "first stop text",
        [](std::uint64_t seed)
        {
            auto const request = some_request(seed);
            auto const whole = reference_answer(request);
            RC_ASSERT(whole.text == text_of(whole.tokens));
            auto before = whole.tokens;
            auto const last = before.back();
            before.pop_back();
            auto stopped = is_end_token(last);
            for (auto const& it : request.stop)
            {
                RC_ASSERT(text_of(before).find(it) == std::string::npos);
                stopped = stopped || whole.text.find(it) != std::string::npos;
            }
            RC_ASSERT(stopped == (whole.finish == finish_reason::stop));
            RC_ASSERT(stopped || whole.tokens.size() == request.max_tokens);
        });
    BOOST_TEST(ok);
}

BOOST_AUTO_TEST_CASE(breaks_after_a_foreign_token)
{
    auto request = some_request(3);
    request.stop.clear();
    request.max_tokens = 30;
    auto const whole = reference_answer(request);
    auto prefix = token_list{whole.tokens.begin(), whole.tokens.begin() + 5};
    prefix.back() = token_id{prefix.back().value() + 1};
    auto stream = token_stream{request, prefix};
    BOOST_TEST(stream.next().id != whole.tokens[5]);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(prefix_blocks)

BOOST_AUTO_TEST_CASE(are_chained_and_whole)
{
    auto tokens = token_list(40, token_id{3});
    auto const chain = block_hashes(tokens);
    BOOST_TEST(chain.size() == 2U);
    BOOST_TEST(chain[0] != chain[1]);
    auto const first = std::span{tokens}.first(block_tokens);
    BOOST_TEST(block_hash(0, first) == chain[0]);
    BOOST_TEST(block_hash(chain[0], first) == chain[1]);
    BOOST_TEST(to_hex(0xabc) == "0000000000000abc");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::standins
