#include "sapphirehook/gossip/topic_history.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

constexpr TimePoint
At(int aMillis)
{
  return TimePoint(Millis(aMillis));
}

TopicBatch
Batch(Offset aFrom, Offset aNext, std::size_t aBytes = 10)
{
  return {
    "t", aFrom, aNext, { { aNext - 1, "k", std::string(aBytes, 'x') } }
  };
}

} // namespace

TEST_CASE("the leader gives a peer what it misses at once", "[gossip]")
{
  TopicHistory history;
  history.Add(Batch(0, 4));
  history.Add(Batch(4, 5));
  history.Add(Batch(5, 9));
  CHECK(history.Offer(At(0), "p", 9, true).empty());
  const auto offered = history.Offer(At(0), "p", 4, true);
  REQUIRE(offered.size() == 2);
  CHECK(offered[0]->m_from == 4);
  CHECK(offered[1]->m_next == 9);
  // A peer may have read up to the middle of what came here in one read.
  CHECK(history.Offer(At(0), "p", 6, true).size() == 1);
}

TEST_CASE("others give it to a peer that has not moved on", "[gossip]")
{
  TopicHistory history;
  history.Add(Batch(0, 4));
  CHECK(history.Offer(At(0), "p", 1, false).empty());
  CHECK(history.Offer(At(300), "p", 2, false).empty());
  CHECK(history.Offer(At(600), "p", 2, false).empty());
  CHECK(history.Offer(At(800), "p", 2, false).size() == 1);
}

TEST_CASE("nothing is given when a part of what is missing is not kept",
          "[gossip]")
{
  TopicHistory history;
  history.Add(Batch(10, 11));
  CHECK(history.Offer(At(0), "p", 9, true).empty());
  SECTION("since it was read elsewhere")
  {
    history.Add(Batch(20, 21));
    CHECK(history.Offer(At(0), "p", 10, true).empty());
    CHECK(history.Offer(At(0), "p", 20, true).size() == 1);
  }
  SECTION("since it was too much")
  {
    history.Add(Batch(11, 12, 60'000));
    history.Add(Batch(12, 13, 60'000));
    CHECK(history.Offer(At(0), "p", 10, true).empty());
    CHECK(history.Offer(At(0), "p", 12, true).size() == 1);
  }
}
