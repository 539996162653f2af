#include "sapphirehook/dispatch/endpoint_queue.hpp"

#include <algorithm>

namespace sapphirehook {

namespace {

/** Weight of a new observation in a moving mean is 2^-kMeanWeightShift. */
constexpr int kMeanWeightShift = 3;

/** Number of mean deviations above the mean within which nearly every request
    completes. */
constexpr int kTailDeviations = 4;

template<typename Waiters>
bool
EraseWaiter(Waiters& aWaiters, std::uint64_t aId)
{
  return std::erase_if(aWaiters, [aId](const auto& aWaiter) {
           return aWaiter.m_id == aId;
         }) > 0;
}

} // namespace

void
ServiceTimeEstimate::Observe(std::chrono::nanoseconds aServiceTime) noexcept
{
  if (m_mean == std::chrono::nanoseconds{}) {
    m_mean = aServiceTime;
    m_deviation = aServiceTime / 2;
    return;
  }
  const auto distance = std::chrono::abs(aServiceTime - m_mean);
  m_deviation += (distance - m_deviation) / (1 << kMeanWeightShift);
  m_mean += (aServiceTime - m_mean) / (1 << kMeanWeightShift);
}

std::chrono::nanoseconds
ServiceTimeEstimate::Tail() const noexcept
{
  return m_mean + kTailDeviations * m_deviation;
}

std::size_t
EndpointQueue::RunningLong() const noexcept
{
  return static_cast<std::size_t>(
    std::count_if(m_running.begin(), m_running.end(), [](const auto& aEntry) {
      return aEntry.second;
    }));
}

std::vector<std::uint64_t>
EndpointQueue::Offer(TimePoint aNow, const QueuedRequest& aRequest)
{
  std::vector<std::uint64_t> refused;
  const auto& estimate =
    aRequest.m_long ? m_longServiceTime : m_shortServiceTime;
  if (aNow + estimate.m_mean > aRequest.m_deadline) {
    refused.push_back(aRequest.m_id);
    return refused;
  }
  auto& waiters = aRequest.m_long ? m_long : m_short;
  waiters.insert({ aRequest.m_deadline, aRequest.m_id });
  if (Waiting() > m_config.m_maxWaiting) {
    refused.push_back(waiters.begin()->m_id);
    waiters.erase(waiters.begin());
  }
  return refused;
}

void
EndpointQueue::ExpireFrom(TimePoint aNow,
                          std::set<Waiter>& aWaiters,
                          const ServiceTimeEstimate& aEstimate,
                          std::vector<std::uint64_t>& aExpired) const
{
  while (!aWaiters.empty()) {
    const bool saturated = aWaiters.size() > m_config.m_slots;
    const auto need = saturated ? aEstimate.Tail() : aEstimate.m_mean;
    if (aWaiters.begin()->m_deadline >= aNow + need) {
      return;
    }
    aExpired.push_back(aWaiters.begin()->m_id);
    aWaiters.erase(aWaiters.begin());
  }
}

std::vector<std::uint64_t>
EndpointQueue::Expire(TimePoint aNow)
{
  std::vector<std::uint64_t> expired;
  ExpireFrom(aNow, m_short, m_shortServiceTime, expired);
  ExpireFrom(aNow, m_long, m_longServiceTime, expired);
  return expired;
}

bool
EndpointQueue::CanStartLong(TimePoint aNow, std::size_t aOccupied) const
{
  const auto running = RunningLong();
  if (running < m_config.m_longSlots) {
    return true;
  }
  const bool peakExpired = aNow - m_peakSince > m_config.m_peakRetention;
  const auto runningShort = m_running.size() - running;
  const auto shortNeed = peakExpired ? runningShort : m_shortPeak;
  const auto reserve = std::max(shortNeed, m_config.m_shortReserve);
  return running + aOccupied + reserve < m_config.m_slots;
}

void
EndpointQueue::UpdateShortPeak(TimePoint aNow)
{
  const auto runningShort = m_running.size() - RunningLong();
  const bool peakExpired = aNow - m_peakSince > m_config.m_peakRetention;
  if (runningShort >= m_shortPeak || peakExpired) {
    m_shortPeak = runningShort;
    m_peakSince = aNow;
  }
}

QueuedRequest
EndpointQueue::Start(std::set<Waiter>& aFrom, bool aLong)
{
  const auto waiter = *aFrom.begin();
  aFrom.erase(aFrom.begin());
  m_running[waiter.m_id] = aLong;
  return { waiter.m_id, aLong, waiter.m_deadline };
}

std::optional<QueuedRequest>
EndpointQueue::Next(TimePoint aNow, std::size_t aOccupied)
{
  const auto slots = std::min(m_openSlots, m_config.m_slots);
  if (m_running.size() + aOccupied >= slots) {
    return std::nullopt;
  }
  if (!m_short.empty()) {
    auto next = Start(m_short, false);
    UpdateShortPeak(aNow);
    return next;
  }
  if (!m_long.empty() && CanStartLong(aNow, aOccupied)) {
    return Start(m_long, true);
  }
  return std::nullopt;
}

void
EndpointQueue::OnEnded(TimePoint /*aNow*/,
                       std::uint64_t aId,
                       std::optional<std::chrono::nanoseconds> aServiceTime)
{
  const auto found = m_running.find(aId);
  if (found == m_running.end()) {
    return;
  }
  const bool isLong = found->second;
  m_running.erase(found);
  if (!aServiceTime) {
    return;
  }
  (isLong ? m_longServiceTime : m_shortServiceTime).Observe(*aServiceTime);
  if (m_openSlots < m_config.m_slots) {
    ++m_openSlots;
  }
}

void
EndpointQueue::BackOff() noexcept
{
  m_openSlots = std::max<std::size_t>(m_openSlots / 2, 1);
}

bool
EndpointQueue::Remove(std::uint64_t aId)
{
  return EraseWaiter(m_short, aId) || EraseWaiter(m_long, aId);
}

std::vector<std::uint64_t>
EndpointQueue::RemoveAll()
{
  std::vector<std::uint64_t> removed;
  for (auto* waiters : { &m_short, &m_long }) {
    for (const auto& waiter : *waiters) {
      removed.push_back(waiter.m_id);
    }
    waiters->clear();
  }
  return removed;
}

} // namespace sapphirehook
