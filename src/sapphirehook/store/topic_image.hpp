#ifndef SAPPHIREHOOK_STORE_TOPIC_IMAGE_HPP
#define SAPPHIREHOOK_STORE_TOPIC_IMAGE_HPP

#include "sapphirehook/store/keyed_record.hpp"

#include <map>
#include <string>
#include <vector>

namespace sapphirehook {

/** The newest record of each key of a topic. A value replaces all earlier ones
    of its key, so that whoever is behind by any number of records needs no more
    than this holds. */
class TopicImage
{
public:
  /** Takes a record in, unless a newer one of its key is known. */
  void Add(const KeyedRecord& aRecord);

  /** All keys that are left at an offset are known from now on. The first time,
      what was removed before that offset is not. */
  void OnWhole(Offset aEnd) noexcept;

  /** Returns the keys that are left and not among some records. */
  [[nodiscard]] std::vector<std::string> KeysBeside(
    const std::vector<KeyedRecord>& aRecords) const;

  /** Returns the offset from which a batch for a peer begins that has all
      records before aHave; 0 stands for all keys that are left. */
  [[nodiscard]] Offset BatchFrom(Offset aHave) const;

  /** Returns the records from an offset on that BatchFrom has given, in their
      order. */
  [[nodiscard]] std::vector<KeyedRecord> Since(Offset aFrom) const;

  /** Whether all keys that are left take fewer bytes to read than a number of
      records of the history, as far as records are of one size. */
  [[nodiscard]] bool IsSmallerThan(Offset aRecords) const noexcept;

private:
  void ForgetRemovals();

  std::map<std::string, KeyedRecord> m_newest;
  std::size_t m_left = 0;
  /** Removals are known from here on. */
  Offset m_removalsFrom = 0;
  bool m_whole = false;
};

} // namespace sapphirehook

#endif
