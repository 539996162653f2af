#include "sapphirehook/gossip/topic_catch_up.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace sapphirehook;

namespace {

constexpr TimePoint
At(int aMillis)
{
  return TimePoint(Millis(aMillis));
}

/** Returns the parts of a batch up to an offset, some 25 of them. */
std::vector<TopicRelay>
Parts(Offset aNext)
{
  std::mt19937 random(static_cast<unsigned>(aNext));
  std::string value;
  for (int i = 0; i < 28'000; ++i) {
    value += static_cast<char>(random() % 256);
  }
  return SplitBatch({ "t", 0, aNext, { { aNext - 1, "k", value } } });
}

/** Follows a topic in virtual time and asks peers as told. */
class Asker
{
public:
  /** Looks and returns what is asked for. */
  std::optional<CatchUpStep> Step(int aAt)
  {
    static_cast<void>(m_catchUp.CheckPeers(At(aAt), m_have));
    return m_catchUp.BehindSince() ? m_catchUp.Next(At(aAt), m_have)
                                   : std::nullopt;
  }

  void Arrive(int aAt, const std::string& aSender, const TopicRelay& aPart)
  {
    const auto batch = m_catchUp.OnPart(At(aAt), aSender, aPart);
    if (batch && batch->m_from <= m_have) {
      m_have = std::max(m_have, batch->m_next);
    }
  }

  TopicCatchUp m_catchUp{ "t" };
  Offset m_have = 2;
};

} // namespace

TEST_CASE("a peer that is ahead is asked, after what may come unasked",
          "[gossip]")
{
  Asker asker;
  asker.m_catchUp.OnPeerEnd(At(0), "leader", 2);
  CHECK_FALSE(asker.Step(0).has_value());
  CHECK_FALSE(asker.m_catchUp.BehindSince().has_value());
  asker.m_catchUp.OnPeerEnd(At(150), "leader", 3);
  CHECK_FALSE(asker.Step(150).has_value());
  const auto step = asker.Step(260);
  REQUIRE(step.has_value());
  CHECK(step->m_peer == "leader");
  CHECK(step->m_request.m_topic == "t");
  CHECK(step->m_request.m_have == 2);
  CHECK(step->m_request.m_missing.empty());
  CHECK(asker.m_catchUp.KnownEnd() == 3);
  asker.m_have = 3;
  CHECK(asker.m_catchUp.CheckPeers(At(300), 3) == Millis(150));
  CHECK_FALSE(asker.m_catchUp.BehindSince().has_value());
}

TEST_CASE("only the parts that were lost are asked for", "[gossip]")
{
  Asker asker;
  const auto parts = Parts(3);
  REQUIRE(parts.size() > 20);
  asker.m_catchUp.OnPeerEnd(At(0), "leader", 3);
  CHECK_FALSE(asker.Step(0).has_value());
  for (std::size_t i = 0; i < parts.size(); ++i) {
    if (i != 4 && i != 17) {
      asker.Arrive(20, "leader", parts[i]);
    }
  }
  CHECK_FALSE(asker.Step(70).has_value());
  const auto step = asker.Step(140);
  REQUIRE(step.has_value());
  CHECK(step->m_peer == "leader");
  CHECK(step->m_request.m_missing == std::vector<unsigned>{ 4, 17 });
  CHECK(step->m_request.m_next == 3);
  asker.Arrive(150, "leader", parts[4]);
  CHECK(asker.m_have == 2);
  asker.Arrive(150, "leader", parts[17]);
  CHECK(asker.m_have == 3);
}

TEST_CASE("peers that do not answer are asked in turn, ever less often",
          "[gossip]")
{
  Asker asker;
  std::vector<std::pair<int, std::string>> asked;
  for (int at = 0; at < 4000; at += 10) {
    for (const auto* peer : { "a", "b", "c" }) {
      asker.m_catchUp.OnPeerEnd(At(at), peer, 9);
    }
    if (const auto step = asker.Step(at)) {
      asked.emplace_back(at, step->m_peer);
    }
  }
  REQUIRE(asked.size() >= 4);
  CHECK(asked.size() <= 6);
  CHECK(asked[0].second != asked[1].second);
  CHECK(asked[1].second != asked[2].second);
  CHECK(asked[0].second != asked[2].second);
  CHECK(asked[2].first <= 1000);
  CHECK(asked[4].first - asked[3].first >= 1000);
}

TEST_CASE("a peer that is not heard of is not asked", "[gossip]")
{
  Asker asker;
  asker.m_catchUp.OnPeerEnd(At(0), "gone", 9);
  CHECK_FALSE(asker.Step(0).has_value());
  CHECK(asker.Step(200).has_value());
  CHECK_FALSE(asker.Step(1200).has_value());
  CHECK_FALSE(asker.m_catchUp.BehindSince().has_value());
}

TEST_CASE("a host on a lossy link has changes in series in time", "[gossip]")
{
  // A change each 400 ms for 8 s, passed on once; three datagrams in ten are
  // lost both ways, and the store does not serve the host. The users' bound is
  // 2 s from the acknowledgement of a change.
  constexpr int kBeat = 150;
  constexpr int kChange = 400;
  constexpr int kEnd = 8000;
  constexpr int kBound = 2000;
  for (unsigned seed = 0; seed < 50; ++seed) {
    std::mt19937 random(seed);
    const auto arrives = [&] { return random() % 10 >= 3; };
    Asker asker;
    Offset end = 2;
    std::map<Offset, int> acceptedAt;
    std::vector<std::pair<int, TopicRelay>> flying;
    int worst = 0;
    const auto send = [&](int aAt, const std::vector<TopicRelay>& aParts) {
      for (const auto& part : aParts) {
        if (arrives()) {
          flying.emplace_back(aAt + 5, part);
        }
      }
    };
    for (int at = 0; at < kEnd + kBound; at += 5) {
      if (at % kChange == 0 && at < kEnd) {
        acceptedAt[++end] = at;
        send(at, Parts(end));
      }
      for (const auto& [due, part] : std::exchange(flying, {})) {
        if (due <= at) {
          asker.Arrive(at, "leader", part);
        } else {
          flying.emplace_back(due, part);
        }
      }
      if (at % kBeat == 0 && arrives()) {
        asker.m_catchUp.OnPeerEnd(At(at), "leader", end);
      }
      // The gateway looks each 50 ms.
      const auto step = at % 50 == 0 ? asker.Step(at) : std::nullopt;
      if (step && arrives()) {
        const auto& request = step->m_request;
        if (request.m_missing.empty()) {
          send(at, Parts(end));
        } else {
          const auto parts = Parts(request.m_next);
          std::vector<TopicRelay> missing;
          for (const auto part : request.m_missing) {
            missing.push_back(parts.at(part));
          }
          send(at, missing);
        }
      }
      for (const auto& [offset, accepted] : acceptedAt) {
        if (asker.m_have < offset) {
          worst = std::max(worst, at - accepted);
        }
      }
    }
    INFO("seed " << seed);
    CHECK(worst <= kBound);
  }
}
