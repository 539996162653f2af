#ifndef SAPPHIREHOOK_ADMISSION_WAIT_POLICY_HPP
#define SAPPHIREHOOK_ADMISSION_WAIT_POLICY_HPP

#include "sapphirehook/core/time.hpp"

#include <cstdint>
#include <string_view>

namespace sapphirehook {

/** The times that limit how long a request waits. */
struct WaitTerms
{
  TimePoint m_waitStartedAt{};
  /** Estimated end of the objective, counted from the first attempt. */
  TimePoint m_objectiveAt{};
  TimePoint m_deadline{};
  std::chrono::nanoseconds m_objective{};
  /** Expected time at the endpoint. */
  std::chrono::nanoseconds m_work{};
};

/** Returns the latest time at which a queued request is worth sending. */
[[nodiscard]] TimePoint
LatestStart(const WaitTerms& aTerms) noexcept;

/** Returns when a queued request's expected wait is estimated again, so that
    most refusals come within an eighth of the objective. */
[[nodiscard]] TimePoint
ReviewTime(const WaitTerms& aTerms) noexcept;

/** Returns the expected wait behind aAhead requests at endpoints that serve
    aSlots requests at once. Zero while no endpoint is known. */
[[nodiscard]] std::chrono::nanoseconds
ExpectedQueueWait(double aAhead,
                  double aSlots,
                  std::chrono::nanoseconds aWork) noexcept;

/** Returns the Retry-After value of a refusal: not before aEarliest, spread by
    the attempt's id over aSpread, and at most a third of the time that the
    caller has left. */
[[nodiscard]] Millis
RetryAfter(std::string_view aAttemptId,
           std::chrono::nanoseconds aEarliest,
           std::chrono::nanoseconds aSpread,
           std::chrono::nanoseconds aCallerLeft);

/** Estimates how long ago a caller sent its first attempt, from the remaining
    time in its deadline header. The longest remaining time of a route's
    requests is that of a first attempt. */
class FirstAttemptTimes
{
public:
  /** Takes a request's remaining time. Returns the time since the caller's
     first attempt. Remaining times above aMaxLeft are not taken as typical. */
  std::chrono::nanoseconds OnRequest(TimePoint aNow,
                                     std::chrono::nanoseconds aLeft,
                                     std::chrono::nanoseconds aMaxLeft);

private:
  /** Longest remaining time of the current and of the previous period. */
  std::chrono::nanoseconds m_longest{};
  std::chrono::nanoseconds m_previous{};
  TimePoint m_periodEndsAt{};
};

} // namespace sapphirehook

#endif
