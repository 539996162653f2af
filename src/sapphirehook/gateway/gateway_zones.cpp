#include "sapphirehook/gateway/gateway.hpp"

#include <algorithm>
#include <utility>

// Evacuated zones, and the hosts among which limits are divided.

namespace sapphirehook {

namespace {

/** A copy of the configuration topic that is older than this was not updated in
    time, for example during an outage of the store or before the first read. An
    evacuation that this host then reads may be as old as the copy. */
constexpr Millis kNormalCopyAge{ 2000 };
/** Time after a restore of the store within which the operator writes again
   what is missing. */
constexpr Millis kRewriteTime{ 3000 };

} // namespace

void
Gateway::OnEvacuation(const std::string& aZone, const KeyedRecord& aRecord)
{
  const TimePoint now = BootClock::now();
  const auto& evacuations = m_directory.Evacuations();
  if (aZone.empty()) {
    return;
  }
  if (!aRecord.m_value) {
    const auto found = evacuations.find(aZone);
    if (found == evacuations.end()) {
      return;
    }
    if (m_eraBeganAt && now < *m_eraBeganAt + kRewriteTime) {
      // The copy that the store was restored from may be older than the
      // request, which the operator then writes again.
      m_zoneReturns.emplace(aZone, aRecord);
      return;
    }
    const TimePoint since = found->second;
    m_directory.EndEvacuation(now, aZone);
    m_emptyZones.erase(aZone);
    m_log.Write(LogLine("evacuation-ends")
                  .Add("zone", aZone)
                  .Add("offset", aRecord.m_offset)
                  .Add("after_ms", now - since)
                  .Add("ranges_left", m_engine.RangesInZone(aZone))
                  .Add("from", m_recordSource),
                LogPriority::State);
    QueueEndpointsChanged();
    return;
  }
  m_zoneReturns.erase(aZone);
  const TimePoint completeAt =
    m_topicStates.at(m_protocol.m_configTopic).m_readSchedule.CompleteAt();
  const bool mayBeOld = now > completeAt + kNormalCopyAge;
  if (!m_directory.BeginEvacuation(aZone, mayBeOld ? completeAt : now)) {
    return;
  }
  const auto& all = m_directory.All();
  const auto endpoints =
    std::count_if(all.begin(), all.end(), [&](const auto& aOne) {
      return aOne.second.m_record.m_zone == aZone;
    });
  m_log.Write(LogLine("evacuation-begins")
                .Add("zone", aZone)
                .Add("offset", aRecord.m_offset)
                .Add("may_be_old", mayBeOld ? 1 : 0)
                .Add("endpoints", endpoints)
                .Add("ranges_left", m_engine.RangesInZone(aZone))
                .Add("from", m_recordSource),
              LogPriority::State);
  QueueEndpointsChanged();
}

void
Gateway::WatchEvacuations(TimePoint aNow)
{
  if (!m_zoneReturns.empty() && aNow >= *m_eraBeganAt + kRewriteTime) {
    for (const auto& [zone, record] : std::exchange(m_zoneReturns, {})) {
      OnEvacuation(zone, record);
    }
  }
  for (const auto& [zone, since] : m_directory.Evacuations()) {
    if (m_emptyZones.contains(zone) || !m_ownership.KnowsMaps()) {
      continue;
    }
    const auto left = m_engine.RangesInZone(zone);
    if (left > 0 && aNow >= since + m_settings.m_evacuation) {
      WriteRateLimited(
        zone,
        LogLine("evacuation-late").Add("zone", zone).Add("ranges_left", left));
    }
    if (left == 0) {
      m_emptyZones.insert(zone);
      m_log.Write(LogLine("evacuation-complete")
                    .Add("zone", zone)
                    .Add("after_ms", aNow - since),
                  LogPriority::State);
    }
  }
}

void
Gateway::UpdateHosts()
{
  std::vector<std::string> hosts;
  for (const auto& [host, peer] : m_gossip.Peers()) {
    hosts.push_back(host);
  }
  m_engine.AddHosts(hosts, m_registry.IsListed());
}

} // namespace sapphirehook
