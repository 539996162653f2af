#include "sapphirehook/admission/wait_policy.hpp"

#include "sapphirehook/core/hash.hpp"

#include <algorithm>

namespace sapphirehook {

namespace {

/** A queued request waits for at most this part of its objective. */
constexpr int kMaxWaitDivisor = 2;
/** Most refusals are sent within this part of the objective. */
constexpr int kReviewDivisor = 8;
/** Smallest Retry-After value. Some slots become free within one service
    time. */
constexpr Millis kMinRetryAfter{ 120 };
/** Largest part of a caller's remaining time that a Retry-After value takes. */
constexpr int kMaxRetryDivisor = 3;
/** Time for which a route's longest remaining time counts at least. A few odd
    callers, or a change of the callers' time limit, then have no lasting
    effect. */
constexpr Millis kLongestPeriod{ 10'000 };

} // namespace

TimePoint
LatestStart(const WaitTerms& aTerms) noexcept
{
  const TimePoint longest =
    aTerms.m_waitStartedAt + aTerms.m_objective / kMaxWaitDivisor;
  const TimePoint inTime = aTerms.m_objectiveAt - aTerms.m_work;
  const TimePoint useful = aTerms.m_deadline - aTerms.m_work;
  // An answer that misses the objective is still useful before the deadline.
  const bool isLate = inTime <= aTerms.m_waitStartedAt;
  return std::min(longest, isLate ? useful : std::min(inTime, useful));
}

TimePoint
ReviewTime(const WaitTerms& aTerms) noexcept
{
  return aTerms.m_waitStartedAt + aTerms.m_objective / kReviewDivisor;
}

std::chrono::nanoseconds
ExpectedQueueWait(double aAhead,
                  double aSlots,
                  std::chrono::nanoseconds aWork) noexcept
{
  constexpr Millis kMinWork{ 1 };
  const std::chrono::duration<double> work =
    std::max<std::chrono::nanoseconds>(aWork, kMinWork);
  return aSlots <= 0.0 ? std::chrono::nanoseconds(0)
                       : std::chrono::duration_cast<std::chrono::nanoseconds>(
                           work * (aAhead / aSlots));
}

Millis
RetryAfter(std::string_view aAttemptId,
           std::chrono::nanoseconds aEarliest,
           std::chrono::nanoseconds aSpread,
           std::chrono::nanoseconds aCallerLeft)
{
  constexpr std::uint64_t kSteps = 1024;
  const std::chrono::nanoseconds most = std::max<std::chrono::nanoseconds>(
    aCallerLeft / kMaxRetryDivisor, kMinRetryAfter);
  const auto first =
    std::clamp<std::chrono::nanoseconds>(aEarliest, kMinRetryAfter, most);
  const auto last =
    std::min(first + std::max(aSpread, std::chrono::nanoseconds(0)), most);
  const auto step = static_cast<std::int64_t>(StableHash(aAttemptId) % kSteps);
  return std::chrono::duration_cast<Millis>(
    first + (last - first) * step / static_cast<std::int64_t>(kSteps));
}

std::chrono::nanoseconds
FirstAttemptTimes::OnRequest(TimePoint aNow,
                             std::chrono::nanoseconds aLeft,
                             std::chrono::nanoseconds aMaxLeft)
{
  if (aNow >= m_periodEndsAt) {
    const bool isNext = aNow < m_periodEndsAt + kLongestPeriod;
    m_previous = isNext ? m_longest : std::chrono::nanoseconds(0);
    m_longest = {};
    m_periodEndsAt = aNow + kLongestPeriod;
  }
  if (aLeft <= aMaxLeft) {
    m_longest = std::max(m_longest, aLeft);
  }
  return std::max(std::max(m_longest, m_previous) - aLeft,
                  std::chrono::nanoseconds(0));
}

} // namespace sapphirehook
