#include "sapphirehook/store/compacted_topic.hpp"

#include "support/generate.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

std::vector<std::string>
Texts(const std::vector<KeyedRecord>& aRecords)
{
  std::vector<std::string> texts;
  texts.reserve(aRecords.size());
  for (const auto& record : aRecords) {
    texts.push_back(record.m_key + "=" + record.m_value.value_or("-"));
  }
  return texts;
}

} // namespace

TEST_CASE("a peer is given the newest record of each key that it misses",
          "[store]")
{
  CompactedTopic image;
  image.OnAllKeysKnown(0);
  image.Add({ 0, "a", "1" });
  image.Add({ 1, "b", "1" });
  image.Add({ 2, "a", "2" });
  image.Add({ 3, "c", "1" });
  image.Add({ 4, "c", std::nullopt });
  CHECK(image.BatchStart(2) == 2);
  CHECK(Texts(image.Since(2)) == std::vector<std::string>{ "a=2", "c=-" });
  CHECK(image.BatchStart(4) == 4);
  CHECK(Texts(image.Since(4)) == std::vector<std::string>{ "c=-" });
  // An older record of a key changes nothing.
  image.Add({ 0, "a", "1" });
  CHECK(Texts(image.Since(2)) == std::vector<std::string>{ "a=2", "c=-" });
}

TEST_CASE("a batch of all keys that are left attaches to any offset", "[store]")
{
  CompactedTopic image;
  image.OnAllKeysKnown(0);
  image.Add({ 5, "config", "x" });
  image.Add({ 9, "config", "y" });
  CHECK(image.BatchStart(0) == 0);
  CHECK(image.BatchStart(7) == 0);
  CHECK(Texts(image.Since(0)) == std::vector<std::string>{ "config=y" });
}

TEST_CASE("what was removed before the first whole reading asks for all keys",
          "[store]")
{
  CompactedTopic image;
  image.Add({ 3, "a", "1" });
  image.Add({ 7, "b", "1" });
  image.OnAllKeysKnown(10);
  CHECK(image.BatchStart(9) == 0);
  CHECK(Texts(image.Since(0)) == std::vector<std::string>{ "a=1", "b=1" });
  CHECK(image.BatchStart(10) == 10);
  CHECK(image.KeysNotIn({ { 0, "a", "1" } }) ==
        std::vector<std::string>{ "b" });
}

TEST_CASE("the newest records are smaller than a long history", "[store]")
{
  CompactedTopic image;
  CHECK_FALSE(image.IsSmallerThan(100));
  image.Add({ 1, "config", "x" });
  CHECK_FALSE(image.IsSmallerThan(1));
  CHECK(image.IsSmallerThan(2));
}

TEST_CASE("a follower that misses any records ends with the same keys",
          "[store]")
{
  // A naive follower takes every record; another takes batches from an image
  // now and then. Both end alike, also when many removals were forgotten.
  std::mt19937 random(11);
  for (int round = 0; round < 20; ++round) {
    CompactedTopic image;
    image.OnAllKeysKnown(0);
    std::map<std::string, std::string> naive;
    std::map<std::string, std::string> follower;
    Offset have = 0;
    constexpr Offset kRecords = 6000;
    const unsigned keys = round % 2 == 0 ? 50 : 4000;
    for (Offset at = 0; at < kRecords; ++at) {
      const auto key = std::to_string(support::Draw(random, keys));
      const bool removes = support::Draw(random, 2) == 0;
      const auto value = std::to_string(at);
      image.Add({ at, key, removes ? std::nullopt : std::optional(value) });
      if (removes) {
        naive.erase(key);
      } else {
        naive[key] = value;
      }
      if (at + 1 == kRecords || support::Draw(random, 700) == 0) {
        const auto from = image.BatchStart(have);
        REQUIRE(from <= have);
        const auto records = image.Since(from);
        if (from == 0) {
          std::erase_if(follower, [&](const auto& aOne) {
            return std::none_of(
              records.begin(), records.end(), [&](const auto& aRecord) {
                return aRecord.m_key == aOne.first;
              });
          });
        }
        for (const auto& record : records) {
          if (record.m_offset < have) {
            continue;
          }
          if (record.m_value) {
            follower[record.m_key] = *record.m_value;
          } else {
            follower.erase(record.m_key);
          }
        }
        have = at + 1;
        REQUIRE(follower == naive);
      }
    }
  }
}
