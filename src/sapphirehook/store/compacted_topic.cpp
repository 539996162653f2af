#include "sapphirehook/store/compacted_topic.hpp"

#include <algorithm>
#include <set>

namespace sapphirehook {

namespace {

/** Maximum number of removals that are kept. A fleet can replace several
    hundred endpoints in a row. */
constexpr std::size_t kMaxRemovals = 1024;

} // namespace

void
CompactedTopic::Add(const KeyedRecord& aRecord)
{
  auto& known = m_newest[aRecord.m_key];
  if (aRecord.m_offset < known.m_offset) {
    return;
  }
  if (known.m_value) {
    --m_liveKeys;
  }
  known = aRecord;
  if (known.m_value) {
    ++m_liveKeys;
  } else if (m_newest.size() - m_liveKeys > kMaxRemovals) {
    DropOldRemovals();
  }
}

/** Deletes the older half of the removals. */
void
CompactedTopic::DropOldRemovals()
{
  std::vector<Offset> removals;
  for (const auto& [key, record] : m_newest) {
    if (!record.m_value) {
      removals.push_back(record.m_offset);
    }
  }
  const auto middle =
    removals.begin() + static_cast<std::ptrdiff_t>(removals.size() / 2);
  std::nth_element(removals.begin(), middle, removals.end());
  m_removalsKnownFrom = std::max(m_removalsKnownFrom, *middle);
  std::erase_if(m_newest, [&](const auto& aOne) {
    return !aOne.second.m_value && aOne.second.m_offset < m_removalsKnownFrom;
  });
}

void
CompactedTopic::OnAllKeysKnown(Offset aEnd) noexcept
{
  if (!m_isComplete) {
    m_isComplete = true;
    m_removalsKnownFrom = std::max(m_removalsKnownFrom, aEnd);
  }
}

std::vector<std::string>
CompactedTopic::KeysNotIn(const std::vector<KeyedRecord>& aRecords) const
{
  std::set<std::string> listed;
  for (const auto& record : aRecords) {
    listed.insert(record.m_key);
  }
  std::vector<std::string> keys;
  for (const auto& [key, record] : m_newest) {
    if (record.m_value && !listed.contains(key)) {
      keys.push_back(key);
    }
  }
  return keys;
}

Offset
CompactedTopic::BatchStart(Offset aHave) const
{
  const bool needsAll =
    aHave < m_removalsKnownFrom ||
    std::none_of(m_newest.begin(), m_newest.end(), [&](const auto& aOne) {
      return aOne.second.m_value && aOne.second.m_offset < aHave;
    });
  return needsAll ? 0 : aHave;
}

std::vector<KeyedRecord>
CompactedTopic::Since(Offset aFrom) const
{
  std::vector<KeyedRecord> records;
  for (const auto& [key, record] : m_newest) {
    if (aFrom == 0 ? record.m_value.has_value() : record.m_offset >= aFrom) {
      records.push_back(record);
    }
  }
  std::sort(records.begin(),
            records.end(),
            [](const KeyedRecord& aLeft, const KeyedRecord& aRight) {
              return aLeft.m_offset < aRight.m_offset;
            });
  return records;
}

bool
CompactedTopic::IsSmallerThan(Offset aRecords) const noexcept
{
  // The store encodes the newest values in base64, four bytes for each three.
  return m_liveKeys > 0 && aRecords * 3 > m_liveKeys * 4;
}

} // namespace sapphirehook
