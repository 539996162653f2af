#include "sapphirehook/gossip/topic_catch_up.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sapphirehook {

namespace {

/** Unsolicited records arrive within this time after the heartbeat that reports
    them, unless the link is saturated. */
constexpr Millis kUnsolicitedDelay{ 100 };
/** Upper bound of the time between two parts of a batch. */
constexpr Millis kPartInterval{ 60 };
/** Initial and maximum time to wait for an answer of a peer. Each unanswered
    request doubles the time, because a saturated link delays answers. */
constexpr Millis kAnswerTimeout{ 250 };
constexpr Millis kMaxAnswerTimeout{ 1000 };
/** Time to wait for requested parts. It covers a round trip within a region and
    the interval between two checks. It is short because a part that is sent
    twice costs little. */
constexpr Millis kPartsAnswerTimeout{ 50 };
/** After this many unanswered requests for missing parts, the whole batch is
    requested from another peer. */
constexpr unsigned kMaxUnansweredRequests = 4;
/** A peer that has reported no end for this long counts as lost. The leader
    sends several heartbeats in this time. */
constexpr Millis kPeerTimeout{ 1000 };

} // namespace

TopicCatchUp::TopicCatchUp(std::string aTopic)
  : m_topic(std::move(aTopic))
  , m_answerTimeout(kAnswerTimeout)
{
}

void
TopicCatchUp::OnPeerEnd(TimePoint aNow,
                        const std::string& aPeer,
                        StorePosition aEnd)
{
  auto& ahead = m_peersAhead[aPeer];
  ahead.m_end = aEnd;
  ahead.m_reportedAt = aNow;
}

std::optional<TopicBatch>
TopicCatchUp::OnPart(TimePoint aNow,
                     const std::string& aSender,
                     const TopicRelay& aPart)
{
  m_sender = aSender;
  m_partAt = aNow;
  m_unansweredRequests = 0;
  m_answerTimeout = kAnswerTimeout;
  return m_batches.Add(aSender, aPart);
}

std::optional<std::chrono::nanoseconds>
TopicCatchUp::CheckPeers(TimePoint aNow, StorePosition aHave)
{
  std::erase_if(m_peersAhead, [&](const auto& aOne) {
    return aOne.second.m_end <= aHave ||
           aNow >= aOne.second.m_reportedAt + kPeerTimeout;
  });
  if (m_peersAhead.empty()) {
    m_unansweredRequests = 0;
    m_answerTimeout = kAnswerTimeout;
    m_askedAt = {};
    const auto since = std::exchange(m_behindSince, std::nullopt);
    return since ? std::optional(aNow - *since) : std::nullopt;
  }
  if (!m_behindSince) {
    m_behindSince = aNow;
  }
  return std::nullopt;
}

StorePosition
TopicCatchUp::KnownEnd() const
{
  StorePosition end;
  for (const auto& [peer, ahead] : m_peersAhead) {
    end = std::max(end, ahead.m_end);
  }
  return end;
}

std::optional<CatchUpStep>
TopicCatchUp::Next(TimePoint aNow, StorePosition aHave)
{
  if (aNow < *m_behindSince + kUnsolicitedDelay ||
      aNow < m_partAt + kPartInterval) {
    return std::nullopt;
  }
  auto step = RequestMissingParts(aHave);
  const auto timeout = step ? kPartsAnswerTimeout : m_answerTimeout;
  if (m_askedAt != TimePoint{} && aNow < m_askedAt + timeout) {
    return std::nullopt;
  }
  if (step) {
    ++m_unansweredRequests;
  } else {
    step = RequestFromPeer(aNow, aHave);
    m_unansweredRequests = 0;
    m_answerTimeout = m_askedAt == TimePoint{}
                        ? kAnswerTimeout
                        : std::min(m_answerTimeout * 2, kMaxAnswerTimeout);
  }
  m_askedAt = aNow;
  return step;
}

std::optional<CatchUpStep>
TopicCatchUp::RequestMissingParts(StorePosition aHave)
{
  auto partial = m_batches.FindIncomplete(m_sender, m_topic, aHave);
  if (!partial || m_unansweredRequests >= kMaxUnansweredRequests) {
    return std::nullopt;
  }
  return CatchUpStep{ m_sender,
                      { m_topic,
                        aHave.m_offset,
                        partial->m_next.m_offset,
                        std::move(partial->m_missing),
                        aHave.m_era } };
}

/** Requests the records from the peer whose last request is the oldest. Among
    equals it selects the peer that has read furthest. */
CatchUpStep
TopicCatchUp::RequestFromPeer(TimePoint aNow, StorePosition aHave)
{
  const auto peer = std::min_element(
    m_peersAhead.begin(),
    m_peersAhead.end(),
    [](const auto& aLeft, const auto& aRight) {
      return std::tie(aLeft.second.m_askedAt, aRight.second.m_end) <
             std::tie(aRight.second.m_askedAt, aLeft.second.m_end);
    });
  peer->second.m_askedAt = aNow;
  return { peer->first, { m_topic, aHave.m_offset, 0, {}, aHave.m_era } };
}

} // namespace sapphirehook
