#include "sapphirehook/keys/range_map.hpp"

#include "support/generate.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

TEST_CASE("a range map agrees with a table of all keys", "[keys]")
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

TEST_CASE(
  "maps with the same routes have the same digests, regardless of splits",
  "[keys]")
{
  std::mt19937 random(12);
  RangeMap cut;
  RangeMap whole;
  whole.Assign({ { 0, kKeyCount - 1 }, "a", true });
  cut.Assign({ { 0, kKeyCount - 1 }, "a", true });
  for (int round = 0; round < 50; ++round) {
    const auto at = static_cast<Key>(support::Draw(random, kKeyCount - 1));
    cut.Assign({ { at, at }, "a", true });
  }
  for (unsigned block = 0; block < kBlocks; ++block) {
    CHECK(cut.Digest(block) == whole.Digest(block));
    CHECK(cut.Block(block) == whole.Block(block));
  }
  cut.Assign({ { 4096, 4096 }, "b", true });
  CHECK(cut.Digest(0) == whole.Digest(0));
  CHECK(cut.Digest(1) != whole.Digest(1));
  cut.Assign({ { 4096, 4096 }, "a", false });
  CHECK(cut.Digest(1) != whole.Digest(1));
}

TEST_CASE("a map built from another map's blocks equals it", "[keys]")
{
  std::mt19937 random(13);
  RangeMap one;
  RangeMap other;
  CHECK_FALSE(other.IsComplete());
  one.Assign({ { 0, kKeyCount - 1 }, "e0", true });
  for (int round = 0; round < 300; ++round) {
    const auto first = static_cast<Key>(support::Draw(random, kKeyCount));
    const auto size = support::Draw(random, 900);
    const auto last =
      static_cast<Key>(std::min<std::uint64_t>(first + size, kKeyCount - 1));
    const auto endpoint = "e" + std::to_string(support::Draw(random, 20));
    one.Assign({ { first, last }, endpoint, support::Draw(random, 3) != 0 });
    if (round % 3 == 0) {
      other.Assign({ { first, last }, "old", true });
    }
  }
  for (unsigned block = 0; block < kBlocks; ++block) {
    for (const auto& route : one.Block(block)) {
      other.Assign(route);
    }
    CHECK(one.Digest(block) == other.Digest(block));
  }
  CHECK(other.IsComplete());
}
