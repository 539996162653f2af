#include "sapphirehook/keys/block_queue.hpp"

#include <utility>

namespace sapphirehook {

namespace {

/** Credit is gathered for this long at most: a few looks at the queue. */
constexpr std::chrono::duration<double> kMostCredit{ 0.05 };

} // namespace

BlockQueue::BlockQueue(double aBytesPerSecond)
  : m_credit(aBytesPerSecond, kMostCredit)
{
}

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
  if (!m_credit.HasCredit(aNow) || m_orders.empty()) {
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
