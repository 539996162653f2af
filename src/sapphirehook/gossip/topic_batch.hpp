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

/** The newest record of each key between two offsets of a topic, in one era of
    the store. */
struct TopicBatch
{
  std::string m_topic;
  Offset m_from = 0;
  /** Position after the last record that was read. */
  StorePosition m_next;
  std::vector<KeyedRecord> m_records;
};

/** A part of a batch that fits into a datagram. */
struct TopicRelay
{
  std::string m_topic;
  Offset m_from = 0;
  Offset m_next = 0;
  unsigned m_part = 0;
  unsigned m_parts = 0;
  /** This part of the packed and compressed records. */
  std::string m_bytes;
  /** Era of the store to which the offsets belong. */
  StoreEra m_era = 0;

  MSGPACK_DEFINE_ARRAY(m_topic, m_from, m_next, m_part, m_parts, m_bytes, m_era)

  /** Returns the position after the last record. */
  [[nodiscard]] StorePosition End() const noexcept { return { m_era, m_next }; }
};

/** Requests from a peer the records of a topic from an offset on, or the
    missing parts of a batch. */
struct TopicRequest
{
  std::string m_topic;
  /** The sender has all records before this offset. */
  Offset m_have = 0;
  /** End offset of the batch whose parts are missing; 0 requests a whole
      batch. */
  Offset m_next = 0;
  std::vector<unsigned> m_missing;
  /** Era of the store to which the offsets belong. */
  StoreEra m_era = 0;

  MSGPACK_DEFINE_ARRAY(m_topic, m_have, m_next, m_missing, m_era)

  /** Returns the position up to which the sender has all records. */
  [[nodiscard]] StorePosition Have() const noexcept
  {
    return { m_era, m_have };
  }
};

/** An incompletely received batch. */
struct PartialBatch
{
  Offset m_from = 0;
  StorePosition m_next;
  std::vector<unsigned> m_missing;
};

/** Splits a batch into parts. Returns no parts if the batch is too large to be
    sent in datagrams. */
[[nodiscard]] std::vector<TopicRelay>
SplitBatch(const TopicBatch& aBatch);

/** Returns whether a batch with this number of parts is sent to peers without a
    request. */
[[nodiscard]] bool
IsSentUnsolicited(std::size_t aParts) noexcept;

/** Reassembles batches from their parts. Keeps the last incomplete batches of
    each sender and topic, because the next change can arrive before all parts
    of the previous one. */
class BatchAssembler
{
public:
  /** Adds a part. Returns the batch once it is complete. Drops invalid
      parts. */
  [[nodiscard]] std::optional<TopicBatch> Add(const std::string& aSender,
                                              const TopicRelay& aPart);

  /** Returns the incomplete batch of a sender with the fewest missing parts
      among the batches that continue a reader's records in the same era. aHave
      is the position up to which the reader has all records. Returns nothing if
      there is no such batch. */
  [[nodiscard]] std::optional<PartialBatch> FindIncomplete(
    const std::string& aSender,
    const std::string& aTopic,
    StorePosition aHave) const;

private:
  struct Partial
  {
    Offset m_from = 0;
    StorePosition m_next;
    unsigned m_count = 0;
    std::map<unsigned, std::string> m_parts;
  };

  [[nodiscard]] Partial& FindOrAddPartial(const std::string& aSender,
                                          const TopicRelay& aPart);

  std::map<std::pair<std::string, std::string>, std::deque<Partial>> m_partials;
};

} // namespace sapphirehook

#endif
