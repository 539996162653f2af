#include "sapphirehook/gossip/topic_batch.hpp"

#include "support/generate.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

TopicBatch
LargeBatch(std::size_t aBytes)
{
  std::mt19937 random(4);
  std::string value;
  while (value.size() < aBytes) {
    value += static_cast<char>(support::Draw(random, 256));
  }
  return { "t",
           10,
           { 0, 14 },
           { { 11, "a", value }, { 12, "b", std::nullopt }, { 13, "c", "" } } };
}

void
CheckSame(const TopicBatch& aLeft, const TopicBatch& aRight)
{
  CHECK(aLeft.m_topic == aRight.m_topic);
  CHECK(aLeft.m_from == aRight.m_from);
  CHECK(aLeft.m_next == aRight.m_next);
  REQUIRE(aLeft.m_records.size() == aRight.m_records.size());
  for (std::size_t i = 0; i < aLeft.m_records.size(); ++i) {
    CHECK(aLeft.m_records[i].m_offset == aRight.m_records[i].m_offset);
    CHECK(aLeft.m_records[i].m_key == aRight.m_records[i].m_key);
    CHECK(aLeft.m_records[i].m_value == aRight.m_records[i].m_value);
  }
}

} // namespace

TEST_CASE("a batch is assembled from its parts in any order", "[gossip]")
{
  const auto batch = LargeBatch(20'000);
  auto parts = SplitBatch(batch);
  REQUIRE(parts.size() > 10);
  for (const auto& part : parts) {
    CHECK(part.m_bytes.size() < 1200);
  }
  std::mt19937 random(1);
  std::shuffle(parts.begin(), parts.end(), random);
  BatchAssembler assembler;
  std::optional<TopicBatch> whole;
  for (const auto& part : parts) {
    CHECK_FALSE(whole.has_value());
    if (&part != &parts.front()) {
      CHECK_FALSE(assembler.Add("other", part).has_value());
    }
    whole = assembler.Add("sender", part);
    CHECK_FALSE(assembler.Add("sender", part).has_value());
  }
  REQUIRE(whole.has_value());
  CheckSame(batch, *whole);
}

TEST_CASE("text is relayed in few datagrams", "[gossip]")
{
  TopicBatch batch{ "t", 0, { 0, 1 }, {} };
  std::string value;
  for (int route = 0; route < 110; ++route) {
    value += R"({"resource-kind":"routes","metadata":{"name":"r)" +
             std::to_string(route * 7919) +
             R"("},"spec":{"host":"boye79.example","path-prefix":"/nyda)" +
             std::to_string(route) + R"(/","timeout-ms":2500}})";
  }
  batch.m_records.push_back({ 0, "config", value });
  CHECK(SplitBatch(batch).size() <= 4);
}

TEST_CASE("a lost, corrupted or invalid part yields no batch", "[gossip]")
{
  const auto batch = LargeBatch(5000);
  const auto parts = SplitBatch(batch);
  REQUIRE(parts.size() > 3);
  BatchAssembler assembler;
  for (std::size_t i = 1; i < parts.size(); ++i) {
    CHECK_FALSE(assembler.Add("s", parts[i]).has_value());
  }
  // The first part of the next batch does not complete the previous batch.
  auto next = parts[0];
  next.m_from = 14;
  next.m_next = 20;
  CHECK_FALSE(assembler.Add("s", next).has_value());
  const auto whole = assembler.Add("s", parts[0]);
  REQUIRE(whole.has_value());
  CheckSame(batch, *whole);
  for (std::size_t corrupted = 0; corrupted < parts.size(); ++corrupted) {
    BatchAssembler other;
    for (std::size_t i = 0; i < parts.size(); ++i) {
      auto part = parts[i];
      if (i == corrupted) {
        part.m_bytes[part.m_bytes.size() / 2] ^= 0x55;
      }
      CHECK_FALSE(other.Add("s", part).has_value());
    }
  }
  auto invalid = parts[0];
  invalid.m_parts = 0;
  CHECK_FALSE(assembler.Add("s", invalid).has_value());
  invalid.m_parts = 100'000;
  CHECK_FALSE(assembler.Add("s", invalid).has_value());
}

TEST_CASE("a large batch is not sent unsolicited, and a batch beyond the size "
          "limit is not split",
          "[gossip]")
{
  CHECK_FALSE(IsSentUnsolicited(SplitBatch(LargeBatch(200'000)).size()));
  CHECK(IsSentUnsolicited(SplitBatch(LargeBatch(60'000)).size()));
  CHECK(SplitBatch(LargeBatch(2'000'000)).empty());
}

TEST_CASE("the missing parts of a batch are listed", "[gossip]")
{
  const auto parts = SplitBatch(LargeBatch(5000));
  REQUIRE(parts.size() > 3);
  BatchAssembler assembler;
  CHECK_FALSE(assembler.FindIncomplete("s", "t", { 0, 12 }).has_value());
  for (std::size_t i = 0; i < parts.size(); ++i) {
    if (i != 1 && i != 3) {
      CHECK_FALSE(assembler.Add("s", parts[i]).has_value());
    }
  }
  CHECK_FALSE(assembler.FindIncomplete("s", "t", { 0, 14 }).has_value());
  CHECK_FALSE(assembler.FindIncomplete("s", "t", { 0, 9 }).has_value());
  const auto begun = assembler.FindIncomplete("s", "t", { 0, 12 });
  REQUIRE(begun.has_value());
  CHECK(begun->m_missing == std::vector<unsigned>{ 1, 3 });
  CHECK(begun->m_next == StorePosition{ 0, 14 });
  CHECK_FALSE(assembler.Add("s", parts[1]).has_value());
  CHECK(assembler.Add("s", parts[3]).has_value());
  CHECK_FALSE(assembler.FindIncomplete("s", "t", { 0, 12 }).has_value());
}

TEST_CASE("the parts of two eras are not mixed", "[gossip]")
{
  // Guards against records of an earlier era in a batch of the present one: a
  // restored store gives the same offsets out again.
  auto batch = LargeBatch(5000);
  batch.m_next.m_era = 1;
  const auto earlier = SplitBatch(batch);
  batch.m_next.m_era = 2;
  batch.m_records[0].m_value = "restored" + *batch.m_records[0].m_value;
  const auto later = SplitBatch(batch);
  REQUIRE(earlier.size() == later.size());
  BatchAssembler assembler;
  CHECK_FALSE(assembler.Add("s", earlier[0]).has_value());
  for (std::size_t i = 1; i < later.size(); ++i) {
    CHECK_FALSE(assembler.Add("s", later[i]).has_value());
  }
  CHECK_FALSE(assembler.FindIncomplete("s", "t", { 3, 12 }).has_value());
  const auto begun = assembler.FindIncomplete("s", "t", { 2, 12 });
  REQUIRE(begun.has_value());
  CHECK(begun->m_missing == std::vector<unsigned>{ 0 });
  const auto whole = assembler.Add("s", later[0]);
  REQUIRE(whole.has_value());
  CheckSame(batch, *whole);
  // The later era supersedes what was begun of the earlier one.
  CHECK_FALSE(assembler.FindIncomplete("s", "t", { 1, 12 }).has_value());
}
