#include "sapphirehook/admission/admission_control.hpp"

#include "sapphirehook/core/hash.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace sapphirehook {

namespace {

/** Interval between two divisions. Arrivals are averaged over a longer time, so
    a shorter interval would change little. */
constexpr Millis kDivisionInterval{ 100 };
/** Time in which returning callers of an overloaded service are spread: that
    over which arrivals are averaged, since the share follows within it. */
constexpr Millis kRetrySpread{ 600 };
/** Number of answers that the moving average of the answer times covers. It is
    small, since the figures of many daemons are averaged. */
constexpr int kMeanSamples = 10;
/** An objective is much shorter than another if it is at most this part. With
    less difference an urgent request can wait for the slots of the other
    kind. */
constexpr int kMuchShorterDivisor = 2;
/** Weight of the newest figure in the moving average of the queueing, which
    covers about half a second. */
constexpr double kQueueingWeight = 0.2;
/** Part of the slots that the admitted requests must need for an estimate of
    the queueing. */
constexpr double kMinBusyPart = 0.5;
/** Smallest part of the measured times that is taken as work. */
constexpr double kMinWorkPart = 0.2;
/** The mean queueing may take this part of the time that the most urgent kind
    has beside its work: with exponential waiting times, 1 request in 50 then
    exceeds it. */
constexpr double kSlackDivisor = 4.0;
/** Queueing that is allowed at least, relative to the work of the most urgent
    kind, whose objective may be out of reach. */
constexpr double kMinSlackPart = 0.25;
/** Reports are fresh if their age is at most this part of the work. */
constexpr double kFreshDivisor = 2.0;
/** Smallest part of the slots that is divided, and the largest change of the
    part in a division. Effects of a change show after about 1 s. */
constexpr double kMinTarget = 0.65;
constexpr double kTargetStep = 0.02;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kArrivalsSeconds = 10.0;

/** Returns the first credit of a kind at a daemon, from 0 to 1. */
double
FirstCredit(std::uint32_t aSeed, std::uint32_t aHash)
{
  constexpr std::uint64_t kSteps = 1024;
  return static_cast<double>(MixHashes(aSeed, aHash) % kSteps) /
         static_cast<double>(kSteps);
}

/** Returns whether requests of aLeft must not wait for slots that those of
    aRight occupy. */
bool
IsMuchMoreUrgent(const Urgency& aLeft, const Urgency& aRight)
{
  return aLeft.m_priority < aRight.m_priority ||
         (aLeft.m_priority == aRight.m_priority &&
          aLeft.m_objective * kMuchShorterDivisor <= aRight.m_objective);
}

} // namespace

void
AdmissionControl::SetRoutes(const RoutingConfig& aConfig)
{
  std::map<std::string, std::set<KindKey>> kinds;
  for (const auto& route : aConfig.m_routes) {
    for (const auto& target : route.m_targets) {
      kinds[target.m_service].insert(KindOf(route));
    }
  }
  std::erase_if(m_services, [&](const auto& aEntry) {
    return !kinds.contains(aEntry.first);
  });
  for (const auto& [name, keys] : kinds) {
    auto& service = m_services[name];
    std::erase_if(service.m_kinds, [&, &wanted = keys](const auto& aEntry) {
      return !wanted.contains(aEntry.first);
    });
    for (const auto& key : keys) {
      const auto hash = HashOf(name, key);
      service.m_kinds.try_emplace(key, hash, FirstCredit(m_seed, hash));
    }
    service.m_isDivided = keys.begin()->m_urgency != keys.rbegin()->m_urgency;
    if (!service.m_isDivided) {
      for (auto& [key, kind] : service.m_kinds) {
        kind.m_share = 1.0;
        kind.m_reserve = {};
      }
    }
  }
}

const AdmissionControl::Service*
AdmissionControl::Find(const std::string& aService) const
{
  const auto found = m_services.find(aService);
  return found == m_services.end() ? nullptr : &found->second;
}

const AdmissionControl::Kind*
AdmissionControl::Find(const std::string& aService, const KindKey& aKind) const
{
  const auto* service = Find(aService);
  if (service == nullptr) {
    return nullptr;
  }
  const auto found = service->m_kinds.find(aKind);
  return found == service->m_kinds.end() ? nullptr : &found->second;
}

AdmissionControl::Kind*
AdmissionControl::Find(const std::string& aService, const KindKey& aKind)
{
  return const_cast<Kind*>(std::as_const(*this).Find(aService, aKind));
}

bool
AdmissionControl::IsDivided(const std::string& aService) const
{
  const auto* service = Find(aService);
  return service != nullptr && service->m_isDivided;
}

void
AdmissionControl::OnArrival(TimePoint aNow,
                            const std::string& aService,
                            const KindKey& aKind)
{
  if (auto* kind = Find(aService, aKind)) {
    kind->m_arrivals.Count(aNow);
  }
}

void
AdmissionControl::OnAnswer(const std::string& aService,
                           const KindKey& aKind,
                           std::chrono::nanoseconds aTook)
{
  if (auto* kind = Find(aService, aKind)) {
    auto& mean = kind->m_answerTime;
    const bool isFirst = mean == std::chrono::nanoseconds(0);
    mean += (aTook - mean) / (isFirst ? 1 : kMeanSamples);
  }
}

void
AdmissionControl::OnQueued(const std::string& aService, const KindKey& aKind)
{
  if (auto* kind = Find(aService, aKind)) {
    ++kind->m_waiting;
  }
}

void
AdmissionControl::OnDequeued(const std::string& aService, const KindKey& aKind)
{
  if (auto* kind = Find(aService, aKind)) {
    kind->m_waiting -= kind->m_waiting > 0 ? 1 : 0;
  }
}

void
AdmissionControl::OnRefused(const std::string& aService,
                            const KindKey& aKind,
                            std::string_view aReason)
{
  if (auto* kind = Find(aService, aKind)) {
    ++kind->m_refusals[std::string(aReason)];
  }
}

bool
AdmissionControl::IsDue(TimePoint aNow, const std::string& aService) const
{
  const auto* service = Find(aService);
  return service != nullptr && service->m_isDivided &&
         (service->m_dividedAt == TimePoint{} ||
          aNow >= service->m_dividedAt + kDivisionInterval);
}

void
AdmissionControl::Divide(TimePoint aNow,
                         const std::string& aService,
                         const Capacity& aCapacity)
{
  const auto found = m_services.find(aService);
  if (found == m_services.end()) {
    return;
  }
  auto& service = found->second;
  UpdateOwn(aNow, false);
  std::vector<KindDemand> demands;
  service.m_demand = 0.0;
  for (auto& [key, kind] : service.m_kinds) {
    kind.m_total = m_fleet.Of(aNow, kind.m_hash);
  }
  SeparateQueueing(service, aCapacity);
  AdaptTarget(service);
  for (auto& [key, kind] : service.m_kinds) {
    demands.push_back(
      { key.m_urgency, kind.m_total.m_arrivals, kind.m_total.m_workSeconds });
    service.m_demand += demands.back().Slots();
  }
  service.m_dividedAt = aNow;
  service.m_slots = aCapacity.m_slots;
  // Without usable endpoints, requests wait for one as they did before.
  const auto shares =
    aCapacity.m_slots > 0.0
      ? DivideCapacity(demands, service.m_target * aCapacity.m_slots)
      : std::vector<double>(demands.size(), 1.0);
  std::size_t next = 0;
  for (auto& [key, kind] : service.m_kinds) {
    kind.m_share = shares[next++];
  }
  UpdateReserves(service, m_fleet.ReportAge(aNow));
}

/** Where daemons know too little of each other's requests, these queue at
    endpoints. Taken as work, the queueing would raise the demand, lower the
    share and leave slots idle. The busy slots show the true work of the
   admitted requests (Little's law); requests of all kinds queue alike. */
void
AdmissionControl::SeparateQueueing(Service& aService, const Capacity& aCapacity)
{
  double admitted = 0.0;
  double expectedBusy = 0.0;
  for (const auto& [key, kind] : aService.m_kinds) {
    const double arrivals = kind.m_share * kind.m_total.m_arrivals;
    admitted += arrivals;
    expectedBusy += arrivals * kind.m_total.m_workSeconds;
  }
  // Leaders of large fleets do not report the endpoints with little load.
  const bool isKnown =
    admitted > 0.0 && expectedBusy > kMinBusyPart * aCapacity.m_slots;
  const double queueing =
    isKnown ? std::max(expectedBusy - aCapacity.m_busy, 0.0) / admitted : 0.0;
  aService.m_queueing += kQueueingWeight * (queueing - aService.m_queueing);
  for (auto& [key, kind] : aService.m_kinds) {
    auto& work = kind.m_total.m_workSeconds;
    work = std::max(work - aService.m_queueing, kMinWorkPart * work);
  }
}

/** Requests of all kinds queue alike at an endpoint, so the most urgent kind
    limits the queueing. */
void
AdmissionControl::AdaptTarget(Service& aService)
{
  const auto mostUrgent = std::find_if(
    aService.m_kinds.begin(), aService.m_kinds.end(), [](const auto& aEntry) {
      return aEntry.second.m_total.m_arrivals > 0.0;
    });
  if (mostUrgent == aService.m_kinds.end()) {
    return;
  }
  const std::chrono::duration<double> objective =
    mostUrgent->first.m_urgency.m_objective;
  const double work = mostUrgent->second.m_total.m_workSeconds;
  const double allowed =
    std::max((objective.count() - work) / kSlackDivisor, kMinSlackPart * work);
  const double error =
    std::clamp((allowed - aService.m_queueing) / allowed, -1.0, 1.0);
  aService.m_target =
    std::clamp(aService.m_target + kTargetStep * error, kMinTarget, kMaxTarget);
}

void
AdmissionControl::UpdateReserves(Service& aService,
                                 std::chrono::nanoseconds aReportAge)
{
  double all = 0.0;
  double limited = 0.0;
  for (auto& [key, kind] : aService.m_kinds) {
    // A limit by figures of about the age of the work sends the requests of all
    // daemons to the few endpoints that had free slots, where they queue.
    const bool isFresh =
      kFreshDivisor * std::chrono::duration<double>(aReportAge).count() <=
      kind.m_total.m_workSeconds;
    kind.m_reserve.m_isLimited =
      isFresh && std::any_of(aService.m_kinds.begin(),
                             aService.m_kinds.end(),
                             [&, &own = key](const auto& aEntry) {
                               return aEntry.second.m_total.m_arrivals > 0.0 &&
                                      IsMuchMoreUrgent(aEntry.first.m_urgency,
                                                       own.m_urgency);
                             });
    const double admitted =
      kind.m_share * kind.m_total.m_arrivals * kind.m_total.m_workSeconds;
    all += admitted;
    limited += kind.m_reserve.m_isLimited ? admitted : 0.0;
  }
  for (auto& [key, kind] : aService.m_kinds) {
    kind.m_reserve.m_limitedShare = all > 0.0 ? limited / all : 1.0;
  }
}

bool
AdmissionControl::Admits(const std::string& aService, const KindKey& aKind)
{
  auto* kind = Find(aService, aKind);
  return kind == nullptr || kind->m_credit.Take(kind->m_share);
}

SlotReserve
AdmissionControl::ReserveFor(const std::string& aService,
                             const KindKey& aKind) const
{
  const auto* kind = Find(aService, aKind);
  return kind != nullptr ? kind->m_reserve : SlotReserve{};
}

std::chrono::nanoseconds
AdmissionControl::RetrySpread(const std::string& aService) const
{
  const auto* service = Find(aService);
  if (service == nullptr || service->m_slots <= 0.0) {
    return kRetrySpread;
  }
  // The capacity needs this long to serve what arrives in kRetrySpread.
  constexpr double kMostExcess = 10.0;
  const double excess = std::clamp(
    service->m_demand / service->m_slots / service->m_target, 1.0, kMostExcess);
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
    excess * std::chrono::duration<double>(kRetrySpread));
}

std::chrono::nanoseconds
AdmissionControl::WorkOf(const std::string& aService,
                         const KindKey& aKind,
                         std::chrono::nanoseconds aTypical) const
{
  const auto* kind = Find(aService, aKind);
  return kind != nullptr && kind->m_total.m_workSeconds > 0.0
           ? std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::duration<double>(kind->m_total.m_workSeconds))
           : aTypical;
}

double
AdmissionControl::WaitingElsewhere(const std::string& aService,
                                   const KindKey& aKind) const
{
  const auto* service = Find(aService);
  double waiting = 0.0;
  if (service != nullptr) {
    for (const auto& [key, kind] : service->m_kinds) {
      if (key.m_urgency.m_priority <= aKind.m_urgency.m_priority) {
        waiting += std::max(kind.m_total.m_waiting - kind.m_waiting, 0.0);
      }
    }
  }
  return waiting;
}

AdmissionControl::Figures
AdmissionControl::FiguresOf(const std::string& aService,
                            const KindKey& aKind) const
{
  const auto* service = Find(aService);
  const auto* kind = Find(aService, aKind);
  return service == nullptr || kind == nullptr
           ? Figures{}
           : Figures{ kind->m_share, service->m_demand, service->m_slots };
}

std::vector<KindUse>
AdmissionControl::OwnUses(TimePoint aNow) const
{
  std::vector<KindUse> uses;
  for (const auto& [name, service] : m_services) {
    if (!service.m_isDivided) {
      continue;
    }
    for (const auto& [key, kind] : service.m_kinds) {
      const double arrivals = kind.m_arrivals.PerSecond(aNow);
      if (arrivals > 0.0 || kind.m_waiting > 0) {
        const std::chrono::duration<double> work = kind.m_answerTime;
        uses.push_back(
          { kind.m_hash,
            static_cast<std::uint32_t>(
              std::lround(arrivals * kArrivalsSeconds)),
            static_cast<std::uint32_t>(work.count() * kMicrosPerSecond),
            kind.m_waiting });
      }
    }
  }
  return uses;
}

void
AdmissionControl::UpdateOwn(TimePoint aNow, bool aIsSent)
{
  // Services are divided one after the other, and all need the same figures.
  constexpr Millis kUpdateInterval{ 50 };
  if (aIsSent || m_ownUpdatedAt == TimePoint{} ||
      aNow >= m_ownUpdatedAt + kUpdateInterval) {
    m_ownUpdatedAt = aNow;
    m_fleet.OnOwn(OwnUses(aNow), aIsSent);
  }
}

std::vector<KindUse>
AdmissionControl::Report(TimePoint aNow, bool aIsSent)
{
  UpdateOwn(aNow, aIsSent);
  return OwnUses(aNow);
}

} // namespace sapphirehook
