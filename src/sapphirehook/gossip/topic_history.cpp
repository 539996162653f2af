#include "sapphirehook/gossip/topic_history.hpp"

#include <algorithm>
#include <numeric>

namespace sapphirehook {

namespace {

/** Bytes of records that are kept: some hundred entries of endpoints. */
constexpr std::size_t kMaxBytes = 65'536;
/** Most batches that are given at once. */
constexpr std::ptrdiff_t kMostBatches = 8;
/** A peer is left to the leader for this long; three beats. */
constexpr Millis kLeaderFirst{ 450 };

std::size_t
SizeOf(const TopicBatch& aBatch)
{
  return std::accumulate(aBatch.m_records.begin(),
                         aBatch.m_records.end(),
                         std::size_t(0),
                         [](std::size_t aSum, const KeyedRecord& aRecord) {
                           const std::size_t value =
                             aRecord.m_value ? aRecord.m_value->size() : 0;
                           return aSum + aRecord.m_key.size() + value;
                         });
}

} // namespace

void
TopicHistory::Add(TopicBatch aBatch)
{
  if (!m_batches.empty() && m_batches.back().m_next < aBatch.m_from) {
    m_batches.clear();
    m_bytes = 0;
  }
  m_bytes += SizeOf(aBatch);
  m_batches.push_back(std::move(aBatch));
  while (m_bytes > kMaxBytes) {
    m_bytes -= SizeOf(m_batches.front());
    m_batches.pop_front();
  }
}

std::vector<const TopicBatch*>
TopicHistory::Offer(TimePoint aNow,
                    const std::string& aPeer,
                    Offset aPeerHas,
                    bool aLeads)
{
  if (m_batches.empty() || aPeerHas >= m_batches.back().m_next) {
    m_behind.erase(aPeer);
    return {};
  }
  auto& seen =
    m_behind.try_emplace(aPeer, Seen{ aPeerHas, aNow }).first->second;
  if (seen.m_has != aPeerHas) {
    seen = { aPeerHas, aNow };
  }
  if (aPeerHas < m_batches.front().m_from ||
      (!aLeads && aNow < seen.m_since + kLeaderFirst)) {
    return {};
  }
  const auto first = std::find_if(
    m_batches.begin(), m_batches.end(), [&](const TopicBatch& aBatch) {
      return aPeerHas < aBatch.m_next;
    });
  const auto count = std::min(m_batches.end() - first, kMostBatches);
  std::vector<const TopicBatch*> offered;
  std::transform(first,
                 first + count,
                 std::back_inserter(offered),
                 [](const TopicBatch& aBatch) { return &aBatch; });
  return offered;
}

} // namespace sapphirehook
