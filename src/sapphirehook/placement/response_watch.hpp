#ifndef SAPPHIREHOOK_PLACEMENT_RESPONSE_WATCH_HPP
#define SAPPHIREHOOK_PLACEMENT_RESPONSE_WATCH_HPP

#include "sapphirehook/core/time.hpp"

#include <cstddef>

namespace sapphirehook {

/** What is known about a request that an endpoint has received and not begun to
    answer. */
struct ResponseWatch
{
  /** Expected time in the endpoint's queue and in a slot, as of the send. */
  std::chrono::nanoseconds m_expectedQueue{};
  std::chrono::nanoseconds m_expectedService{};
  /** Mean time of such a request at the service's endpoints. */
  std::chrono::nanoseconds m_typical{};
  /** Time since the send. */
  std::chrono::nanoseconds m_silentFor{};
  /** Time until the caller must have its final answer. */
  std::chrono::nanoseconds m_timeLeft{};
  /** Whether the endpoint's slots may all have been occupied since the send. */
  bool m_mayHaveBeenFull = false;
  /** Number of this daemon's requests at the endpoint, including this one, that
      are silent for longer than their shortest limit. */
  std::size_t m_silentRequests = 0;
  /** Whether the daemon is stopping. */
  bool m_stopping = false;
};

/** Returns the shortest time after a send from which on silence can count as
    evidence that the endpoint will not answer. */
[[nodiscard]] std::chrono::nanoseconds
ShortestSilence(std::chrono::nanoseconds aExpectedQueue,
                std::chrono::nanoseconds aExpectedService) noexcept;

/** Returns the time after the send from which on the request counts as
    unanswered for good. It tolerates requests that take seven times the mean,
    unless other evidence exists or no time would be left for another
    attempt. */
[[nodiscard]] std::chrono::nanoseconds
SilenceLimit(const ResponseWatch& aWatch) noexcept;

/** Returns whether an idempotent request should be abandoned and sent to
    another endpoint. An endpoint that cannot queue a request may never answer
    it, nor anything later on that connection; a healthy endpoint that is merely
    slow is not given up. */
[[nodiscard]] bool
IsUnresponsive(const ResponseWatch& aWatch) noexcept;

} // namespace sapphirehook

#endif
