#include "sapphirehook/keys/block_queue.hpp"

#include <utility>

namespace sapphirehook {

namespace {

/** Credit accumulates for at most this long, which spans a few polls of the
    queue. */
constexpr std::chrono::duration<double> kMaxCreditTime{ 0.05 };

} // namespace

BlockQueue::BlockQueue(double aBytesPerSecond)
  : m_credit(aBytesPerSecond, kMaxCreditTime)
{
}

void
BlockQueue::Add(const BlockRequest& aRequest)
{
  if (m_queued.insert(aRequest).second) {
    m_requests.push_back(aRequest);
  }
}

std::optional<BlockRequest>
BlockQueue::TakeNext(TimePoint aNow)
{
  if (!m_credit.HasCredit(aNow) || m_requests.empty()) {
    return std::nullopt;
  }
  BlockRequest next = std::move(m_requests.front());
  m_requests.pop_front();
  m_queued.erase(next);
  return next;
}

void
BlockQueue::Clear()
{
  m_requests.clear();
  m_queued.clear();
}

} // namespace sapphirehook
