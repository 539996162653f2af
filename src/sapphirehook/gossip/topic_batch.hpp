#ifndef SAPPHIREHOOK_GOSSIP_TOPIC_BATCH_HPP
#define SAPPHIREHOOK_GOSSIP_TOPIC_BATCH_HPP

#include "sapphirehook/core/ids.hpp"
#include "sapphirehook/store/keyed_record.hpp"

#include <deque>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sapphirehook {

/** What one read of a topic has brought: the newest record of each key between
    two offsets. */
struct TopicBatch
{
  std::string m_topic;
  Offset m_from = 0;
  /** Offset behind the last record that was read. */
  Offset m_next = 0;
  std::vector<KeyedRecord> m_records;
};

/** A part of a batch, small enough for a datagram. */
struct TopicRelay
{
  std::string m_topic;
  Offset m_from = 0;
  Offset m_next = 0;
  unsigned m_part = 0;
  unsigned m_parts = 0;
  /** A part of the packed and compressed records. */
  std::string m_bytes;

  MSGPACK_DEFINE_ARRAY(m_topic, m_from, m_next, m_part, m_parts, m_bytes)
};

/** Asks a peer for the records of a topic from an offset on, or for parts of a
    batch of it that did not arrive. */
struct TopicRequest
{
  std::string m_topic;
  /** The sender has all records before this offset. */
  Offset m_have = 0;
  /** Where the batch ends whose parts are missing; 0 asks for a whole one. */
  Offset m_next = 0;
  std::vector<unsigned> m_missing;

  MSGPACK_DEFINE_ARRAY(m_topic, m_have, m_next, m_missing)
};

/** A batch of which some parts have arrived. */
struct PartialBatch
{
  Offset m_from = 0;
  Offset m_next = 0;
  std::vector<unsigned> m_missing;
};

/** Returns the parts of a batch; none when it is too large for datagrams. */
[[nodiscard]] std::vector<TopicRelay>
SplitBatch(const TopicBatch& aBatch);

/** Whether a batch of so many parts is passed on unasked. */
[[nodiscard]] bool
IsPassedOnUnasked(std::size_t aParts) noexcept;

/** Puts the parts of batches together. Keeps the last batches of each sender
    and topic, since changes may follow each other faster than the parts of one
    arrive. */
class BatchAssembler
{
public:
  /** Takes a part in. Returns the batch once it is whole; parts that make no
      sense are dropped. */
  [[nodiscard]] std::optional<TopicBatch> Add(const std::string& aSender,
                                              const TopicRelay& aPart);

  /** Returns the batch of a sender that lacks the fewest parts, of those that
      follow on what a reader has; nothing when none has begun. */
  [[nodiscard]] std::optional<PartialBatch> Begun(const std::string& aSender,
                                                  const std::string& aTopic,
                                                  Offset aHave) const;

private:
  struct Partial
  {
    Offset m_from = 0;
    Offset m_next = 0;
    unsigned m_count = 0;
    std::map<unsigned, std::string> m_parts;
  };

  [[nodiscard]] Partial& PartialOf(const std::string& aSender,
                                   const TopicRelay& aPart);

  std::map<std::pair<std::string, std::string>, std::deque<Partial>> m_partials;
};

} // namespace sapphirehook

#endif
