#include "sapphirehook/store/topic_image.hpp"

#include <algorithm>
#include <set>

namespace sapphirehook {

namespace {

/** Removals that are kept at most; a fleet replaces some hundred endpoints in a
    row. */
constexpr std::size_t kMostRemovals = 1024;

} // namespace

void
TopicImage::Add(const KeyedRecord& aRecord)
{
  auto& known = m_newest[aRecord.m_key];
  if (aRecord.m_offset < known.m_offset) {
    return;
  }
  if (known.m_value) {
    --m_left;
  }
  known = aRecord;
  if (known.m_value) {
    ++m_left;
  } else if (m_newest.size() - m_left > kMostRemovals) {
    ForgetRemovals();
  }
}

/** Drops the older half of the removals. */
void
TopicImage::ForgetRemovals()
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
  m_removalsFrom = std::max(m_removalsFrom, *middle);
  std::erase_if(m_newest, [&](const auto& aOne) {
    return !aOne.second.m_value && aOne.second.m_offset < m_removalsFrom;
  });
}

void
TopicImage::OnWhole(Offset aEnd) noexcept
{
  if (!m_whole) {
    m_whole = true;
    m_removalsFrom = std::max(m_removalsFrom, aEnd);
  }
}

std::vector<std::string>
TopicImage::KeysBeside(const std::vector<KeyedRecord>& aRecords) const
{
  std::set<std::string> given;
  for (const auto& record : aRecords) {
    given.insert(record.m_key);
  }
  std::vector<std::string> keys;
  for (const auto& [key, record] : m_newest) {
    if (record.m_value && !given.contains(key)) {
      keys.push_back(key);
    }
  }
  return keys;
}

Offset
TopicImage::BatchFrom(Offset aHave) const
{
  const bool needsAll =
    aHave < m_removalsFrom ||
    std::none_of(m_newest.begin(), m_newest.end(), [&](const auto& aOne) {
      return aOne.second.m_value && aOne.second.m_offset < aHave;
    });
  return needsAll ? 0 : aHave;
}

std::vector<KeyedRecord>
TopicImage::Since(Offset aFrom) const
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
TopicImage::IsSmallerThan(Offset aRecords) const noexcept
{
  // The store writes the newest values in base64: four bytes for three.
  return m_left > 0 && aRecords * 3 > m_left * 4;
}

} // namespace sapphirehook
