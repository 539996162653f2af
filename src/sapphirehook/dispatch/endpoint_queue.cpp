#include "sapphirehook/dispatch/endpoint_queue.hpp"

#include <algorithm>

namespace sapphirehook {

namespace {

/** Share of a new observation in a mean, as a power of two. */
constexpr int kMeanShift = 3;

/** Deviations above the mean within which nearly every request is done. */
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
ServiceEstimate::Observe(std::chrono::nanoseconds aServed) noexcept
{
  if (m_mean == std::chrono::nanoseconds{}) {
    m_mean = aServed;
    m_deviation = aServed / 2;
    return;
  }
  const auto distance = std::chrono::abs(aServed - m_mean);
  m_deviation += (distance - m_deviation) / (1 << kMeanShift);
  m_mean += (aServed - m_mean) / (1 << kMeanShift);
}

std::chrono::nanoseconds
ServiceEstimate::Tail() const noexcept
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
  const auto& estimate = aRequest.m_long ? m_longService : m_shortService;
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
                          const ServiceEstimate& aEstimate,
                          std::vector<std::uint64_t>& aExpired) const
{
  while (!aWaiters.empty()) {
    const bool crowded = aWaiters.size() > m_config.m_slots;
    const auto need = crowded ? aEstimate.Tail() : aEstimate.m_mean;
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
  ExpireFrom(aNow, m_short, m_shortService, expired);
  ExpireFrom(aNow, m_long, m_longService, expired);
  return expired;
}

bool
EndpointQueue::LongMayRun(TimePoint aNow, std::size_t aOccupied) const
{
  const auto running = RunningLong();
  if (running < m_config.m_longSlots) {
    return true;
  }
  const bool peakIsOld = aNow - m_peakSince > m_config.m_peakMemory;
  const auto runningShort = m_running.size() - running;
  const auto shortNeed = peakIsOld ? runningShort : m_shortPeak;
  const auto reserve = std::max(shortNeed, m_config.m_shortReserve);
  return running + aOccupied + reserve < m_config.m_slots;
}

void
EndpointQueue::NoteShortPeak(TimePoint aNow)
{
  const auto runningShort = m_running.size() - RunningLong();
  const bool peakIsOld = aNow - m_peakSince > m_config.m_peakMemory;
  if (runningShort >= m_shortPeak || peakIsOld) {
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
    NoteShortPeak(aNow);
    return next;
  }
  if (!m_long.empty() && LongMayRun(aNow, aOccupied)) {
    return Start(m_long, true);
  }
  return std::nullopt;
}

void
EndpointQueue::OnEnded(TimePoint /*aNow*/,
                       std::uint64_t aId,
                       std::optional<std::chrono::nanoseconds> aServed)
{
  const auto found = m_running.find(aId);
  if (found == m_running.end()) {
    return;
  }
  const bool isLong = found->second;
  m_running.erase(found);
  if (!aServed) {
    return;
  }
  (isLong ? m_longService : m_shortService).Observe(*aServed);
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
