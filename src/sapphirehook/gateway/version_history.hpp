#ifndef SAPPHIREHOOK_GATEWAY_VERSION_HISTORY_HPP
#define SAPPHIREHOOK_GATEWAY_VERSION_HISTORY_HPP

#include "sapphirehook/core/time.hpp"

#include <cstdint>
#include <deque>
#include <string>

namespace sapphirehook {

/** The latest configuration versions that came into force on this daemon, with
    their times. A single reading of the metrics shows how late each version
    was, even when the log lines about them have been dropped. */
class VersionHistory
{
public:
  /** Records that a version came into force. */
  void Add(TimePoint aNow, std::uint64_t aVersion);

  /** Appends a sample for each version to a Prometheus text: the seconds since
      the version came into force. */
  void AppendSamples(std::string& aText, TimePoint aNow) const;

private:
  struct InForce
  {
    std::uint64_t m_version = 0;
    TimePoint m_since{};
  };

  std::deque<InForce> m_versions;
};

} // namespace sapphirehook

#endif
