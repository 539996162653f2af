#ifndef SAPPHIREHOOK_PLACEMENT_KIND_WORK_HPP
#define SAPPHIREHOOK_PLACEMENT_KIND_WORK_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/routing/request_class.hpp"

#include <cstddef>
#include <map>

namespace sapphirehook {

/** Mean service times of the kinds of requests of one service, over all
    endpoints. The work of kinds differs by a factor of three, so without it an
    endpoint that happened to get long requests would appear slow. */
class KindWork
{
public:
  /** Records the service time of an answered request, without queueing. */
  void OnAnswer(const KindKey& aKind, std::chrono::nanoseconds aService);

  /** Returns the mean service time of a kind relative to that of the whole
      service. It is 1 while there are too few answers. */
  [[nodiscard]] double Relative(const KindKey& aKind) const;

private:
  struct Mean
  {
    double m_seconds = 0.0;
    std::size_t m_samples = 0;

    void Add(double aSeconds) noexcept;
  };

  std::map<KindKey, Mean> m_kinds;
  Mean m_all;
};

} // namespace sapphirehook

#endif
