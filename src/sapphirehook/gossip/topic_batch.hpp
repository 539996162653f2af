#ifndef SAPPHIREHOOK_GOSSIP_TOPIC_BATCH_HPP
#define SAPPHIREHOOK_GOSSIP_TOPIC_BATCH_HPP

#include "sapphirehook/core/ids.hpp"
#include "sapphirehook/store/keyed_record.hpp"

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

/** Returns the parts of a batch; none when it is too large to be passed on. */
[[nodiscard]] std::vector<TopicRelay>
SplitBatch(const TopicBatch& aBatch);

/** Puts the parts of batches together. Keeps one batch at a time for each
    sender and topic: the others are read from the store in any case. */
class BatchAssembler
{
public:
  /** Takes a part in. Returns the batch once it is whole; parts that make no
      sense are dropped. */
  [[nodiscard]] std::optional<TopicBatch> Add(const std::string& aSender,
                                              const TopicRelay& aPart);

private:
  struct Partial
  {
    Offset m_from = 0;
    Offset m_next = 0;
    std::map<unsigned, std::string> m_parts;
  };

  std::map<std::pair<std::string, std::string>, Partial> m_partials;
};

} // namespace sapphirehook

#endif
