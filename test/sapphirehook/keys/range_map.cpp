#include "sapphirehook/keys/range_map.hpp"

#include "support/generate.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

TEST_CASE("a range map answers as a table with a row for each key", "[keys]")
{
  std::mt19937 random(11);
  RangeMap map;
  std::vector<std::string> naive(kKeyCount);
  for (int round = 0; round < 300; ++round) {
    const auto first = static_cast<Key>(support::Draw(random, kKeyCount));
    const auto size = support::Draw(random, 3000);
    const auto last =
      static_cast<Key>(std::min<std::uint64_t>(first + size, kKeyCount - 1));
    const auto endpoint = "e" + std::to_string(support::Draw(random, 20));
    map.Assign({ { first, last }, endpoint, true });
    std::fill(naive.begin() + first, naive.begin() + last + 1, endpoint);
  }
  for (std::uint32_t key = 0; key < kKeyCount; ++key) {
    const auto* route = map.Find(static_cast<Key>(key));
    REQUIRE((route == nullptr ? std::string() : route->m_endpoint) ==
            naive[key]);
  }
}
