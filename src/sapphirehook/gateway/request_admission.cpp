#include "sapphirehook/gateway/request_engine.hpp"

#include <algorithm>
#include <utility>

// Applies the decisions of the admission: which requests are sent, queued or
// refused, and which queued one is next.

namespace sapphirehook {

namespace {

/** How far ahead the next admission of a cold endpoint is searched, and the
    step of the search. A Retry-After is at most as long. */
constexpr Millis kMaxColdWait{ 1000 };
constexpr Millis kColdWaitStep{ 25 };

} // namespace

bool
RequestEngine::ApplyShare(TimePoint aNow, const TransactionPtr& aTransaction)
{
  const auto& name = aTransaction->m_service;
  const auto kind = KindOf(*aTransaction->m_route);
  m_admission.OnArrival(aNow, name, kind);
  if (m_admission.IsDue(aNow, name)) {
    m_admission.Divide(aNow, name, CapacityOf(aNow, ServiceOf(name)));
  }
  aTransaction->m_overShare = !m_admission.Admits(name, kind);
  // The holder of a key may have capacity while those of other keys have none.
  if (!aTransaction->m_overShare || aTransaction->m_key) {
    return true;
  }
  Refuse(aTransaction, "over the share", {}, m_admission.RetrySpread(name));
  return false;
}

AdmissionControl::Capacity
RequestEngine::CapacityOf(TimePoint aNow, const Service& aService)
{
  AdmissionControl::Capacity capacity;
  for (const auto* endpoints :
       { &aService.m_localZone, &aService.m_otherZones }) {
    for (const auto* endpoint : *endpoints) {
      const auto& load = endpoint->m_load;
      if (endpoint->m_usable) {
        capacity.m_slots +=
          static_cast<double>(load.Slots()) * (1.0 - load.OverdueShare(aNow));
        capacity.m_busy +=
          static_cast<double>(std::min(load.Running(aNow), load.Slots()));
      }
    }
  }
  return capacity;
}

void
RequestEngine::SendOrEnqueue(const TransactionPtr& aTransaction)
{
  const TimePoint now = BootClock::now();
  auto* endpoint = Choose(now, *aTransaction);
  if (endpoint != nullptr) {
    SendTo(now, aTransaction, *endpoint);
  } else {
    CountHeldBack(now, *aTransaction);
    if (!HasLinkCapacity(*aTransaction)) {
      m_metrics.m_linkFull +=
        std::exchange(aTransaction->m_waitedForLink, true) ? 0 : 1;
    }
    const bool mayRefuse = !aTransaction->m_mayHaveRun;
    const auto wait = ExpectedWait(now, *aTransaction);
    const auto maxWait = LatestStart(TermsOf(*aTransaction)) - now;
    if (wait > maxWait && mayRefuse) {
      Refuse(aTransaction, "too many wait", wait - maxWait, wait);
      return;
    }
    if (aTransaction->m_overShare && mayRefuse) {
      Refuse(aTransaction,
             "over the share",
             {},
             m_admission.RetrySpread(aTransaction->m_service));
      return;
    }
    Enqueue(aTransaction);
  }
  if (!aTransaction->m_done) {
    ArmTimer(aTransaction);
  }
}

QueueEntry
RequestEngine::EntryOf(const Transaction& aTransaction)
{
  QueueEntry entry;
  entry.m_id = aTransaction.m_queueId;
  entry.m_kind = KindOf(*aTransaction.m_route);
  entry.m_objectiveAt = aTransaction.m_objectiveAt;
  return entry;
}

WaitTerms
RequestEngine::TermsOf(const Transaction& aTransaction)
{
  const auto& route = *aTransaction.m_route;
  // Where nothing is divided, the time of the first attempt affects only the
  // order: callers there may have different time limits.
  const TimePoint objectiveAt =
    m_admission.IsDivided(aTransaction.m_service)
      ? aTransaction.m_objectiveAt
      : aTransaction.m_arrivedAt + route.m_objective;
  return { aTransaction.m_waitStartedAt,
           objectiveAt,
           AnswerDeadline(aTransaction),
           route.m_objective,
           m_admission.WorkOf(
             aTransaction.m_service,
             KindOf(route),
             ServiceOf(aTransaction.m_service).m_meanServiceTime) };
}

std::chrono::nanoseconds
RequestEngine::ExpectedWait(TimePoint aNow, const Transaction& aTransaction)
{
  auto& service = ServiceOf(aTransaction.m_service);
  if (aTransaction.m_key) {
    const auto* holder = HolderOf(aTransaction);
    if (holder == nullptr) {
      return std::chrono::nanoseconds(0);
    }
    auto wait = holder->m_load.ExpectedWait(aNow, service.m_meanServiceTime);
    // A cold holder admits this host's requests at times that are known.
    while (wait < kMaxColdWait &&
           !AdmitsCold(aNow + wait, aTransaction, *holder)) {
      wait += kColdWaitStep;
    }
    return wait;
  }
  // Daemons exchange the queue lengths of divided services. For others the
  // estimate assumes that each daemon has as many queued requests as this one.
  const auto entry = EntryOf(aTransaction);
  const auto own = static_cast<double>(service.m_queue.Ahead(entry));
  const double ahead =
    m_admission.IsDivided(aTransaction.m_service)
      ? own + m_admission.WaitingElsewhere(aTransaction.m_service, entry.m_kind)
      : own * static_cast<double>(m_daemons);
  double slots = 0.0;
  for (const auto* endpoints :
       { &service.m_localZone, &service.m_otherZones }) {
    for (const auto* endpoint : *endpoints) {
      slots +=
        endpoint->m_usable ? static_cast<double>(endpoint->m_load.Slots()) : 0;
    }
  }
  return ExpectedQueueWait(ahead, slots, service.m_meanServiceTime);
}

void
RequestEngine::Enqueue(const TransactionPtr& aTransaction)
{
  aTransaction->m_queueId = ++m_lastQueueId;
  aTransaction->m_waiting = true;
  auto entry = EntryOf(*aTransaction);
  if (aTransaction->m_key) {
    if (auto* holder = HolderOf(*aTransaction)) {
      holder->m_load.OnWaitBegins();
      entry.m_awaitedEndpoint = holder->m_record.m_incarnation.m_name;
    }
  }
  m_admission.OnQueued(aTransaction->m_service, entry.m_kind);
  ServiceOf(aTransaction->m_service)
    .m_queue.Add(std::move(entry), aTransaction);
}

void
RequestEngine::Dequeue(const TransactionPtr& aTransaction)
{
  if (!aTransaction->m_waiting) {
    return;
  }
  aTransaction->m_waiting = false;
  const auto entry =
    ServiceOf(aTransaction->m_service).m_queue.Remove(aTransaction->m_queueId);
  m_admission.OnDequeued(aTransaction->m_service, entry.m_kind);
  const auto holder = m_endpoints.find(entry.m_awaitedEndpoint);
  if (holder != m_endpoints.end()) {
    holder->second->m_load.OnWaitEnds();
  }
}

void
RequestEngine::ProcessQueues()
{
  if (m_processingQueues) {
    return;
  }
  m_processingQueues = true;
  for (auto& [name, service] : m_services) {
    ProcessQueue(service);
  }
  m_processingQueues = false;
}

void
RequestEngine::ProcessQueue(Service& aService)
{
  const TimePoint now = BootClock::now();
  aService.m_queue.Walk([&](const TransactionPtr& aTransaction) {
    if (!aTransaction->m_waiting) {
      return WalkStep::Waits; // has left the queue in the meantime
    }
    auto* endpoint = Choose(now, *aTransaction);
    if (endpoint == nullptr) {
      const bool isBlocked = !aTransaction->m_key &&
                             now >= aTransaction->m_notBefore &&
                             HasLinkCapacity(*aTransaction);
      return isBlocked ? WalkStep::KindWaits : WalkStep::Waits;
    }
    Dequeue(aTransaction);
    SendTo(now, aTransaction, *endpoint);
    if (!aTransaction->m_done) {
      ArmTimer(aTransaction);
    }
    return WalkStep::Taken;
  });
}

} // namespace sapphirehook
