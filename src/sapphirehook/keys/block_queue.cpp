#include "sapphirehook/keys/block_queue.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

namespace {

/** Credit is gathered for this long at most: a few looks at the queue. */
constexpr std::chrono::duration<double> kMostCredit{ 0.05 };

} // namespace

void
BlockQueue::Add(const BlockOrder& aOrder)
{
  if (m_waiting.insert(aOrder).second) {
    m_orders.push_back(aOrder);
  }
}

std::optional<BlockOrder>
BlockQueue::TakeNext(TimePoint aNow)
{
  const std::chrono::duration<double> passed =
    aNow - std::exchange(m_creditAt, aNow);
  m_credit = std::min(m_credit + passed.count() * m_bytesPerSecond,
                      kMostCredit.count() * m_bytesPerSecond);
  if (m_orders.empty() || m_credit <= 0.0) {
    return std::nullopt;
  }
  BlockOrder next = std::move(m_orders.front());
  m_orders.pop_front();
  m_waiting.erase(next);
  return next;
}

void
BlockQueue::Clear()
{
  m_orders.clear();
  m_waiting.clear();
}

} // namespace sapphirehook
