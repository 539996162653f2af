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

TEST_CASE("a peer receives the newest record of each key that it lacks",
          "[store]")
{
  CompactedTopic topic;
  topic.OnAllKeysKnown(0);
  topic.Add({ 0, "a", "1" });
  topic.Add({ 1, "b", "1" });
  topic.Add({ 2, "a", "2" });
  topic.Add({ 3, "c", "1" });
  topic.Add({ 4, "c", std::nullopt });
  CHECK(topic.BatchStart(2) == 2);
  CHECK(Texts(topic.Since(2)) == std::vector<std::string>{ "a=2", "c=-" });
  CHECK(topic.BatchStart(4) == 4);
  CHECK(Texts(topic.Since(4)) == std::vector<std::string>{ "c=-" });
  // An older record of a key has no effect.
  topic.Add({ 0, "a", "1" });
  CHECK(Texts(topic.Since(2)) == std::vector<std::string>{ "a=2", "c=-" });
}

TEST_CASE("a batch of all existing keys continues from any offset", "[store]")
{
  CompactedTopic topic;
  topic.OnAllKeysKnown(0);
  topic.Add({ 5, "config", "x" });
  topic.Add({ 9, "config", "y" });
  CHECK(topic.BatchStart(0) == 0);
  CHECK(topic.BatchStart(7) == 0);
  CHECK(Texts(topic.Since(0)) == std::vector<std::string>{ "config=y" });
}

TEST_CASE("a peer that may lack removals from before the first complete read "
          "receives all keys",
          "[store]")
{
  CompactedTopic topic;
  topic.Add({ 3, "a", "1" });
  topic.Add({ 7, "b", "1" });
  topic.OnAllKeysKnown(10);
  CHECK(topic.BatchStart(9) == 0);
  CHECK(Texts(topic.Since(0)) == std::vector<std::string>{ "a=1", "b=1" });
  CHECK(topic.BatchStart(10) == 10);
  CHECK(topic.KeysNotIn({ { 0, "a", "1" } }) ==
        std::vector<std::string>{ "b" });
}

TEST_CASE("the newest records take fewer bytes than a long history", "[store]")
{
  CompactedTopic topic;
  CHECK_FALSE(topic.IsSmallerThan(100));
  topic.Add({ 1, "config", "x" });
  CHECK_FALSE(topic.IsSmallerThan(1));
  CHECK(topic.IsSmallerThan(2));
}

TEST_CASE("a follower that misses arbitrary records ends with the same keys",
          "[store]")
{
  // A naive follower takes every record. The other follower takes batches from
  // the compacted topic at random times. Both end with the same keys, also when
  // the compacted topic has dropped many removals.
  std::mt19937 random(11);
  for (int round = 0; round < 20; ++round) {
    CompactedTopic topic;
    topic.OnAllKeysKnown(0);
    std::map<std::string, std::string> naive;
    std::map<std::string, std::string> follower;
    Offset have = 0;
    constexpr Offset kRecords = 6000;
    const unsigned keys = round % 2 == 0 ? 50 : 4000;
    for (Offset at = 0; at < kRecords; ++at) {
      const auto key = std::to_string(support::Draw(random, keys));
      const bool removes = support::Draw(random, 2) == 0;
      const auto value = std::to_string(at);
      topic.Add({ at, key, removes ? std::nullopt : std::optional(value) });
      if (removes) {
        naive.erase(key);
      } else {
        naive[key] = value;
      }
      if (at + 1 == kRecords || support::Draw(random, 700) == 0) {
        const auto from = topic.BatchStart(have);
        REQUIRE(from <= have);
        const auto records = topic.Since(from);
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
