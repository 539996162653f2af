#include "sapphirehook/admission/fleet_demand.hpp"

#include <algorithm>
#include <set>

namespace sapphirehook {

namespace {

/** Time for which a report is valid. Daemons report several times a second. */
constexpr Millis kReportLifetime{ 700 };
/** Unit of KindUse::m_arrivals in seconds. */
constexpr double kArrivalsSeconds = 10.0;
constexpr double kMicrosPerSecond = 1e6;

bool
IsFresh(TimePoint aNow, TimePoint aReportedAt)
{
  return aReportedAt != TimePoint{} && aNow < aReportedAt + kReportLifetime;
}

std::map<std::uint32_t, KindUse>
ByKind(const std::vector<KindUse>& aUses)
{
  std::map<std::uint32_t, KindUse> byKind;
  for (const auto& use : aUses) {
    byKind[use.m_kind] = use;
  }
  return byKind;
}

KindUse
Find(const std::map<std::uint32_t, KindUse>& aUses, std::uint32_t aKind)
{
  const auto found = aUses.find(aKind);
  return found == aUses.end() ? KindUse{} : found->second;
}

} // namespace

void
RateWindow::Count(TimePoint aNow)
{
  if (!m_hasFirst) {
    m_hasFirst = true;
    m_firstAt = aNow;
  }
  const auto number = SinceBoot(aNow) / kBucket;
  auto& bucket = m_buckets.at(static_cast<std::size_t>(number) % kBuckets);
  if (bucket.m_number != number) {
    bucket = { number, 0 };
  }
  ++bucket.m_count;
}

double
RateWindow::PerSecond(TimePoint aNow) const
{
  const auto number = SinceBoot(aNow) / kBucket;
  std::uint32_t count = 0;
  for (const auto& bucket : m_buckets) {
    const bool isInWindow =
      bucket.m_number >= 0 &&
      bucket.m_number > number - static_cast<std::int64_t>(kBuckets);
    count += isInWindow ? bucket.m_count : 0;
  }
  // The newest bucket is incomplete, and so is the window of a young daemon.
  const auto covered = std::chrono::duration<double>(
    aNow.time_since_epoch() -
    (number - static_cast<std::int64_t>(kBuckets) + 1) * kBucket);
  const auto sinceFirst =
    std::max(std::chrono::duration<double>(aNow - m_firstAt),
             std::chrono::duration<double>(kBucket));
  return count / std::min(covered, sinceFirst).count();
}

void
FleetDemand::OnOwn(const std::vector<KindUse>& aUses, bool aIsSent)
{
  m_own = ByKind(aUses);
  if (aIsSent) {
    m_ownSent = m_own;
  }
}

void
FleetDemand::OnPeer(TimePoint aNow,
                    const std::string& aPeer,
                    const std::vector<KindUse>& aUses)
{
  std::erase_if(m_peers, [&](const auto& aEntry) {
    return !IsFresh(aNow, aEntry.second.m_at);
  });
  m_peers[aPeer] = { ByKind(aUses), aNow };
}

void
FleetDemand::OnTotals(TimePoint aNow, const std::vector<KindUse>& aTotals)
{
  m_totals = { ByKind(aTotals), aNow };
}

FleetDemand::Total
FleetDemand::Sum(TimePoint aNow, std::uint32_t aKind) const
{
  Total total;
  double known = 0.0;
  double work = 0.0;
  const auto add = [&](const KindUse& aUse) {
    const double arrivals = aUse.m_arrivals / kArrivalsSeconds;
    total.m_arrivals += arrivals;
    total.m_waiting += aUse.m_waiting;
    if (aUse.m_workMicros > 0) {
      known += arrivals;
      work += arrivals * aUse.m_workMicros / kMicrosPerSecond;
    }
  };
  const auto own = Find(m_own, aKind);
  add(own);
  std::size_t reports = 1;
  for (const auto& [peer, report] : m_peers) {
    if (IsFresh(aNow, report.m_at)) {
      add(Find(report.m_uses, aKind));
      ++reports;
    }
  }
  // Daemons without a fresh report count as the mean of the others.
  const double missing = std::max(
    static_cast<double>(m_daemons) / static_cast<double>(reports), 1.0);
  total.m_arrivals *= missing;
  total.m_waiting *= missing;
  total.m_workSeconds =
    known > 0.0 ? work / known : own.m_workMicros / kMicrosPerSecond;
  return total;
}

FleetDemand::Total
FleetDemand::Of(TimePoint aNow, std::uint32_t aKind) const
{
  if (!IsFresh(aNow, m_totals.m_at)) {
    return Sum(aNow, aKind);
  }
  const auto all = Find(m_totals.m_uses, aKind);
  const auto own = Find(m_own, aKind);
  const auto sent = Find(m_ownSent, aKind);
  // A burst at this daemon counts before the leader knows of it.
  const auto newer = [](std::uint32_t aOwn, std::uint32_t aSent) {
    return static_cast<double>(aOwn) - std::min(aOwn, aSent);
  };
  Total total;
  total.m_arrivals = (all.m_arrivals + newer(own.m_arrivals, sent.m_arrivals)) /
                     kArrivalsSeconds;
  total.m_waiting = all.m_waiting + newer(own.m_waiting, sent.m_waiting);
  total.m_workSeconds =
    (all.m_workMicros > 0 ? all.m_workMicros : own.m_workMicros) /
    kMicrosPerSecond;
  return total;
}

Millis
FleetDemand::ReportAge(TimePoint aNow) const
{
  // Daemons send heartbeats every 150 ms, in large fleets by way of the leader.
  constexpr Millis kDirect{ 150 };
  constexpr Millis kByLeader{ 300 };
  if (m_daemons == 1) {
    return Millis(0);
  }
  return IsFresh(aNow, m_totals.m_at) ? kByLeader : kDirect;
}

std::vector<KindUse>
FleetDemand::Totals(TimePoint aNow) const
{
  std::set<std::uint32_t> kinds;
  for (const auto& [kind, use] : m_own) {
    kinds.insert(kind);
  }
  for (const auto& [peer, report] : m_peers) {
    for (const auto& [kind, use] : report.m_uses) {
      kinds.insert(kind);
    }
  }
  std::vector<KindUse> totals;
  for (const auto kind : kinds) {
    const auto total = Sum(aNow, kind);
    totals.push_back(
      { kind,
        static_cast<std::uint32_t>(total.m_arrivals * kArrivalsSeconds),
        static_cast<std::uint32_t>(total.m_workSeconds * kMicrosPerSecond),
        static_cast<std::uint32_t>(total.m_waiting) });
  }
  return totals;
}

} // namespace sapphirehook
