#ifndef SAPPHIREHOOK_GOSSIP_TOPIC_CATCH_UP_HPP
#define SAPPHIREHOOK_GOSSIP_TOPIC_CATCH_UP_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/gossip/topic_batch.hpp"

#include <map>
#include <optional>
#include <string>

namespace sapphirehook {

/** A request and the peer to send it to. */
struct CatchUpStep
{
  std::string m_peer;
  TopicRequest m_request;
};

/** Obtains a topic's missing records from peers. Peers send records
    unsolicited, and this class requests records from a peer that has read
    further. It covers two failures: a change misses a few daemons because a
    congested link drops datagrams, and a store rejects some daemons during a
    series of changes. To save the link of the requesting daemon, it requests
    only the missing parts of a batch, and from one peer at a time. */
class TopicCatchUp
{
public:
  explicit TopicCatchUp(std::string aTopic);

  /** Takes the position up to which a peer has read the topic. */
  void OnPeerEnd(TimePoint aNow, const std::string& aPeer, StorePosition aEnd);

  /** Adds a received part. Returns the batch once it is complete. */
  [[nodiscard]] std::optional<TopicBatch> OnPart(TimePoint aNow,
                                                 const std::string& aSender,
                                                 const TopicRelay& aPart);

  /** Checks whether a peer has read further than this daemon, which has all
      records before aHave. Returns how long this daemon was behind if it has
      just caught up. */
  std::optional<std::chrono::nanoseconds> CheckPeers(TimePoint aNow,
                                                     StorePosition aHave);

  /** Returns the next request, if one is due. BehindSince() has to have a
      value. */
  [[nodiscard]] std::optional<CatchUpStep> Next(TimePoint aNow,
                                                StorePosition aHave);

  /** Returns the highest position up to which a peer has read. */
  [[nodiscard]] StorePosition KnownEnd() const;

  /** Returns since when a peer has been ahead, as of the last CheckPeers()
      call. */
  [[nodiscard]] std::optional<TimePoint> BehindSince() const noexcept
  {
    return m_behindSince;
  }

private:
  struct PeerAhead
  {
    StorePosition m_end;
    TimePoint m_reportedAt{};
    TimePoint m_askedAt{};
  };

  [[nodiscard]] std::optional<CatchUpStep> RequestMissingParts(
    StorePosition aHave);
  [[nodiscard]] CatchUpStep RequestFromPeer(TimePoint aNow,
                                            StorePosition aHave);

  std::string m_topic;
  BatchAssembler m_batches;
  std::map<std::string, PeerAhead> m_peersAhead;
  std::optional<TimePoint> m_behindSince;
  /** Sender and arrival time of the last part. */
  std::string m_sender;
  TimePoint m_partAt{};
  TimePoint m_askedAt{};
  /** Consecutive requests for missing parts that brought no part. */
  unsigned m_unansweredRequests = 0;
  /** Time to wait for the next answer of a peer. */
  Millis m_answerTimeout;
};

} // namespace sapphirehook

#endif
