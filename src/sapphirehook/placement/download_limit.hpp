#ifndef SAPPHIREHOOK_PLACEMENT_DOWNLOAD_LIMIT_HPP
#define SAPPHIREHOOK_PLACEMENT_DOWNLOAD_LIMIT_HPP

#include "sapphirehook/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace sapphirehook {

/** Limits the downloads that a daemon has in progress to those that its host's
    link can carry within their objective. More of them would make each other
    late without any being finished earlier. */
class DownloadLimit
{
public:
  /** Sets the bandwidth of the host's link in megabits per second. There is no
      limit if it is 0. */
  explicit DownloadLimit(double aLinkMbps)
    : m_linkMbps(aLinkMbps)
  {
  }

  /** Records the size of a complete answer of a route. */
  void OnAnswer(const std::string& aRoute, std::uint64_t aBytes);

  /** Records that a download begins or ends. */
  void OnBegin() noexcept { ++m_inProgress; }
  void OnEnd() noexcept { m_inProgress -= m_inProgress > 0 ? 1 : 0; }

  [[nodiscard]] std::size_t InProgress() const noexcept { return m_inProgress; }

  /** Returns the number of downloads in progress up to which one more download
      of a route may begin. */
  [[nodiscard]] std::size_t Limit(const std::string& aRoute,
                                  std::chrono::nanoseconds aObjective) const;

  [[nodiscard]] bool HasCapacity(const std::string& aRoute,
                                 std::chrono::nanoseconds aObjective) const
  {
    return m_inProgress < Limit(aRoute, aObjective);
  }

private:
  struct Size
  {
    double m_mean = 0.0;
    std::size_t m_samples = 0;
  };

  double m_linkMbps;
  std::size_t m_inProgress = 0;
  std::map<std::string, Size> m_sizes;
};

} // namespace sapphirehook

#endif
