#ifndef SAPPHIREHOOK_GATEWAY_START_CONFIG_HPP
#define SAPPHIREHOOK_GATEWAY_START_CONFIG_HPP

#include "sapphirehook/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sapphirehook {

/** The configuration of a daemon as its heartbeats report it. */
struct ReportedConfig
{
  std::uint64_t m_version = 0;
  /** Whether the daemon has it in force. */
  bool m_isInForce = false;
};

/** Decides when a daemon that starts uses the configuration that it has read.
    A store that was restored from an older copy returns an older version than
    the running daemons have in force. A daemon that knows no other version
    would serve it, so it waits until a peer shows that there is no later one. A
    store that has not been restored returns the latest version, and nothing is
    waited for. */
class StartConfig
{
public:
  /** Takes the configuration that a peer reports. */
  void OnPeer(TimePoint aNow,
              const std::string& aPeer,
              const ReportedConfig& aConfig);

  /** Returns whether this daemon may put a version into force. aPeersKnownAt is
      when it learned of its peers, or nothing if it does not know them yet.
      aHasPeers is whether there are any. */
  [[nodiscard]] bool MayUse(TimePoint aNow,
                            std::uint64_t aVersion,
                            std::optional<TimePoint> aPeersKnownAt,
                            bool aHasPeers) const;

  /** Returns the latest version that a living peer has reported. */
  [[nodiscard]] std::uint64_t LatestOfPeers(TimePoint aNow) const;

private:
  struct Report
  {
    ReportedConfig m_config;
    TimePoint m_at{};
  };

  std::map<std::string, Report> m_reports;
};

} // namespace sapphirehook

#endif
