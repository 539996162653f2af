#ifndef SAPPHIREHOOK_GOSSIP_TOPIC_CATCH_UP_HPP
#define SAPPHIREHOOK_GOSSIP_TOPIC_CATCH_UP_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/gossip/topic_batch.hpp"

#include <map>
#include <optional>
#include <string>

namespace sapphirehook {

/** A request that is to be sent to a peer. */
struct CatchUpStep
{
  std::string m_peer;
  TopicRequest m_request;
};

/** Gets what a daemon misses of a topic from its peers: what they pass on
    unasked, and what it asks one that is ahead for. It answers two patterns: a
    change that reaches all daemons but a few, since datagrams are lost on a
    crowded link, and a store that turns some daemons away while changes come in
    series. What is asked for costs the asker's link as little as possible: the
    parts that did not arrive, and one peer at a time. */
class TopicCatchUp
{
public:
  explicit TopicCatchUp(std::string aTopic);

  /** A peer has read the topic up to an offset. */
  void OnEnd(TimePoint aNow, const std::string& aPeer, Offset aEnd);

  /** Takes a part in; returns the batch once it is whole. */
  [[nodiscard]] std::optional<TopicBatch> OnPart(TimePoint aNow,
                                                 const std::string& aSender,
                                                 const TopicRelay& aPart);

  /** Looks whether a peer is ahead of the offset up to which this daemon has
      read. Returns for how long one was, when that has ended. */
  std::optional<std::chrono::nanoseconds> Look(TimePoint aNow, Offset aHave);

  /** Returns what to ask for now, if anything; to be called while a peer is
      ahead. */
  [[nodiscard]] std::optional<CatchUpStep> Next(TimePoint aNow, Offset aHave);

  /** The furthest offset that a peer has read up to. */
  [[nodiscard]] Offset KnownEnd() const;

  /** Since when a peer has been ahead, as of the last look. */
  [[nodiscard]] std::optional<TimePoint> BehindSince() const noexcept
  {
    return m_behindSince;
  }

private:
  struct Ahead
  {
    Offset m_end = 0;
    TimePoint m_heardAt{};
    TimePoint m_askedAt{};
  };

  [[nodiscard]] std::optional<CatchUpStep> AskForMissing(Offset aHave);
  [[nodiscard]] CatchUpStep AskPeer(TimePoint aNow, Offset aHave);

  std::string m_topic;
  BatchAssembler m_batches;
  std::map<std::string, Ahead> m_ahead;
  std::optional<TimePoint> m_behindSince;
  /** Who sent the last part, and when it came. */
  std::string m_sender;
  TimePoint m_partAt{};
  TimePoint m_askedAt{};
  /** Requests in a row for the parts of a batch that brought none. */
  unsigned m_vain = 0;
  /** How long the next answer of a peer is waited for. */
  Millis m_patience;
};

} // namespace sapphirehook

#endif
