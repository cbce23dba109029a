#include "routing/prefix_blocks.hpp"
#include "standins/token_model.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace primrosedeal::routing
{

BOOST_AUTO_TEST_SUITE(prefix_blocks_of_a_prompt)

BOOST_AUTO_TEST_CASE(are_those_that_engines_publish)
{
    auto const same =
        rc::check("equal to the engine's own hashes",
                  [](std::vector<std::uint32_t> const& ids)
                  {
                      auto prompt = std::vector<token_id>{};
                      for (auto const id : ids)
                      {
                          prompt.emplace_back(id);
                      }
                      RC_ASSERT(prefix_blocks(prompt, prompt.size()) ==
                                standins::block_hashes(prompt));
                  });
    BOOST_TEST(same);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::routing
