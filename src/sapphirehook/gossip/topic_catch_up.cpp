#include "sapphirehook/gossip/topic_catch_up.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sapphirehook {

namespace {

/** What is passed on unasked arrives within this time of the beat that tells of
    it, on a link that is not full. */
constexpr Millis kUnaskedWithin{ 100 };
/** Parts of a batch follow each other more closely than this. */
constexpr Millis kPartsWithin{ 60 };
/** A peer answers within this time; each request in vain doubles it, since a
    full link holds answers up. */
constexpr Millis kAnswerWithin{ 250 };
constexpr Millis kMostPatience{ 1000 };
/** The same for some parts, which cost little when they are sent twice: a round
    trip within a region, and the time to look. */
constexpr Millis kPartsAnsweredWithin{ 50 };
/** After so many requests in vain for its missing parts, a batch is asked for
    anew, of another peer. */
constexpr unsigned kMostVain = 4;
/** A peer not heard of for this long counts as lost; the leader beats several
    times in it. */
constexpr Millis kHeardWithin{ 1000 };

} // namespace

TopicCatchUp::TopicCatchUp(std::string aTopic)
  : m_topic(std::move(aTopic))
  , m_patience(kAnswerWithin)
{
}

void
TopicCatchUp::OnEnd(TimePoint aNow, const std::string& aPeer, Offset aEnd)
{
  auto& ahead = m_ahead[aPeer];
  ahead.m_end = aEnd;
  ahead.m_heardAt = aNow;
}

std::optional<TopicBatch>
TopicCatchUp::OnPart(TimePoint aNow,
                     const std::string& aSender,
                     const TopicRelay& aPart)
{
  m_sender = aSender;
  m_partAt = aNow;
  m_vain = 0;
  m_patience = kAnswerWithin;
  return m_batches.Add(aSender, aPart);
}

std::optional<std::chrono::nanoseconds>
TopicCatchUp::Look(TimePoint aNow, Offset aHave)
{
  std::erase_if(m_ahead, [&](const auto& aOne) {
    return aOne.second.m_end <= aHave ||
           aNow >= aOne.second.m_heardAt + kHeardWithin;
  });
  if (m_ahead.empty()) {
    m_vain = 0;
    m_patience = kAnswerWithin;
    m_askedAt = {};
    const auto since = std::exchange(m_behindSince, std::nullopt);
    return since ? std::optional(aNow - *since) : std::nullopt;
  }
  if (!m_behindSince) {
    m_behindSince = aNow;
  }
  return std::nullopt;
}

Offset
TopicCatchUp::KnownEnd() const
{
  Offset end = 0;
  for (const auto& [peer, ahead] : m_ahead) {
    end = std::max(end, ahead.m_end);
  }
  return end;
}

std::optional<CatchUpStep>
TopicCatchUp::Next(TimePoint aNow, Offset aHave)
{
  if (aNow < *m_behindSince + kUnaskedWithin ||
      aNow < m_partAt + kPartsWithin) {
    return std::nullopt;
  }
  auto step = AskForMissing(aHave);
  const auto patience = step ? kPartsAnsweredWithin : m_patience;
  if (m_askedAt != TimePoint{} && aNow < m_askedAt + patience) {
    return std::nullopt;
  }
  if (step) {
    ++m_vain;
  } else {
    step = AskPeer(aNow, aHave);
    m_vain = 0;
    m_patience = m_askedAt == TimePoint{}
                   ? kAnswerWithin
                   : std::min(m_patience * 2, kMostPatience);
  }
  m_askedAt = aNow;
  return step;
}

std::optional<CatchUpStep>
TopicCatchUp::AskForMissing(Offset aHave)
{
  auto partial = m_batches.Begun(m_sender, m_topic, aHave);
  if (!partial || m_vain >= kMostVain) {
    return std::nullopt;
  }
  return CatchUpStep{
    m_sender, { m_topic, aHave, partial->m_next, std::move(partial->m_missing) }
  };
}

/** Asks the peer that was asked longest ago, of several the one that has most.
 */
CatchUpStep
TopicCatchUp::AskPeer(TimePoint aNow, Offset aHave)
{
  const auto order = [](const auto& aOne) {
    return std::tuple(aOne.second.m_askedAt,
                      -static_cast<std::int64_t>(aOne.second.m_end));
  };
  const auto peer = std::min_element(
    m_ahead.begin(), m_ahead.end(), [&](const auto& aLeft, const auto& aRight) {
      return order(aLeft) < order(aRight);
    });
  peer->second.m_askedAt = aNow;
  return { peer->first, { m_topic, aHave, 0, {} } };
}

} // namespace sapphirehook
