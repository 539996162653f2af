#include "sapphirehook/gateway/start_config.hpp"

#include <algorithm>

namespace sapphirehook {

namespace {

/** Age after which a peer's report no longer counts. A living peer sends
    several heartbeats in this time. */
constexpr Millis kReportTimeout{ 1000 };
/** Time to wait for the first heartbeat of a peer. It covers a heartbeat of
   this daemon, by which the peer learns that it has started, and one of a peer
   in a large fleet, which sends every 300 ms. */
constexpr Millis kFirstReportWait{ 600 };

} // namespace

void
StartConfig::OnPeer(TimePoint aNow,
                    const std::string& aPeer,
                    const ReportedConfig& aConfig)
{
  m_reports[aPeer] = { aConfig, aNow };
}

std::uint64_t
StartConfig::LatestOfPeers(TimePoint aNow) const
{
  std::uint64_t latest = 0;
  for (const auto& [peer, report] : m_reports) {
    if (aNow < report.m_at + kReportTimeout) {
      latest = std::max(latest, report.m_config.m_version);
    }
  }
  return latest;
}

bool
StartConfig::MayUse(TimePoint aNow,
                    std::uint64_t aVersion,
                    std::optional<TimePoint> aPeersKnownAt,
                    bool aHasPeers) const
{
  if (aVersion < LatestOfPeers(aNow)) {
    return false;
  }
  const bool isConfirmed =
    std::any_of(m_reports.begin(), m_reports.end(), [&](const auto& aOne) {
      return aOne.second.m_config.m_isInForce &&
             aNow < aOne.second.m_at + kReportTimeout;
    });
  return isConfirmed ||
         (aPeersKnownAt &&
          (!aHasPeers || aNow >= *aPeersKnownAt + kFirstReportWait));
}

} // namespace sapphirehook
