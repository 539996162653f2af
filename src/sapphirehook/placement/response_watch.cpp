#include "sapphirehook/placement/response_watch.hpp"

#include <algorithm>

namespace sapphirehook {

namespace {

/** Multiples of the expected service time. In the users' workload 3 of 100
    requests take seven times as long as the others, so that eight times is
    almost never a request that still runs. The smaller multiple applies if
    several requests are silent, the daemon is stopping, or another attempt
    would come too late otherwise. */
constexpr int kLongMultiple = 8;
constexpr int kShortMultiple = 4;
/** Multiple of the expected time in the endpoint's queue: long requests may
    occupy the slots. */
constexpr int kQueueMultiple = 2;
/** Times below this may be delays of the network or of a busy processor. */
constexpr Millis kMinSilence{ 100 };
/** Number of silent requests at one endpoint that are evidence by themselves.
    Two long requests of one daemon at one endpoint are rare. */
constexpr std::size_t kSeveral = 2;
/** Multiple of the typical time that has to be left for another attempt, and
    the one at which a request no longer waits for the long limit. */
constexpr double kAttemptMultiple = 1.2;
constexpr double kLastStartMultiple = 2.0;

std::chrono::nanoseconds
Scaled(std::chrono::nanoseconds aSpan, double aFactor) noexcept
{
  return std::chrono::nanoseconds(static_cast<std::chrono::nanoseconds::rep>(
    static_cast<double>(aSpan.count()) * aFactor));
}

std::chrono::nanoseconds
Limit(int aMultiple,
      std::chrono::nanoseconds aQueue,
      std::chrono::nanoseconds aService) noexcept
{
  return std::max<std::chrono::nanoseconds>(
    kMinSilence, aMultiple * aService + kQueueMultiple * aQueue);
}

} // namespace

std::chrono::nanoseconds
ShortestSilence(std::chrono::nanoseconds aExpectedQueue,
                std::chrono::nanoseconds aExpectedService) noexcept
{
  return Limit(kShortMultiple, aExpectedQueue, aExpectedService);
}

std::chrono::nanoseconds
SilenceLimit(const ResponseWatch& aWatch) noexcept
{
  const auto shortest =
    ShortestSilence(aWatch.m_expectedQueue, aWatch.m_expectedService);
  if (aWatch.m_stopping || aWatch.m_silentRequests >= kSeveral) {
    return shortest;
  }
  const auto longest =
    Limit(kLongMultiple, aWatch.m_expectedQueue, aWatch.m_expectedService);
  const auto lastStart = aWatch.m_silentFor + aWatch.m_timeLeft -
                         Scaled(aWatch.m_typical, kLastStartMultiple);
  return std::clamp(lastStart, shortest, longest);
}

bool
IsUnresponsive(const ResponseWatch& aWatch) noexcept
{
  const bool isPlausible = aWatch.m_mayHaveBeenFull || aWatch.m_stopping ||
                           aWatch.m_silentRequests >= kSeveral;
  const auto attemptTime = Scaled(aWatch.m_typical, kAttemptMultiple);
  return isPlausible && aWatch.m_timeLeft >= attemptTime &&
         aWatch.m_silentFor >= SilenceLimit(aWatch);
}

} // namespace sapphirehook
