#ifndef SAPPHIREHOOK_STORE_COMPACTED_TOPIC_HPP
#define SAPPHIREHOOK_STORE_COMPACTED_TOPIC_HPP

#include "sapphirehook/store/keyed_record.hpp"

#include <map>
#include <string>
#include <vector>

namespace sapphirehook {

/** The newest record of each key of a topic. A value replaces all earlier
    values of its key, so these records suffice to bring any reader up to date,
    regardless of how far it is behind. */
class CompactedTopic
{
public:
  /** Adds a record unless a newer one of its key is known. */
  void Add(const KeyedRecord& aRecord);

  /** Records that all keys that exist at an offset are known. On the first
      call, removals before that offset are unknown. */
  void OnAllKeysKnown(Offset aEnd) noexcept;

  /** Returns whether all keys that existed at some offset are known. */
  [[nodiscard]] bool IsComplete() const noexcept { return m_isComplete; }

  /** Returns the existing keys that are not among aRecords. */
  [[nodiscard]] std::vector<std::string> KeysNotIn(
    const std::vector<KeyedRecord>& aRecords) const;

  /** Returns the start offset of a batch for a peer that has all records before
      aHave; 0 means that the batch contains all existing keys. */
  [[nodiscard]] Offset BatchStart(Offset aHave) const;

  /** Returns the records from an offset on, which has to come from BatchStart,
      ordered by offset. */
  [[nodiscard]] std::vector<KeyedRecord> Since(Offset aFrom) const;

  /** Returns whether reading all existing keys takes fewer bytes than reading a
      number of records of the history, assuming records of equal size. */
  [[nodiscard]] bool IsSmallerThan(Offset aRecords) const noexcept;

private:
  void DropOldRemovals();

  std::map<std::string, KeyedRecord> m_newest;
  std::size_t m_liveKeys = 0;
  /** Offset from which on all removals are known. */
  Offset m_removalsKnownFrom = 0;
  bool m_isComplete = false;
};

} // namespace sapphirehook

#endif
