#ifndef SAPPHIREHOOK_CORE_TIME_HPP
#define SAPPHIREHOOK_CORE_TIME_HPP

#include <chrono>
#include <ctime>

namespace sapphirehook {

/** Monotonic clock that also advances while the host is suspended. */
struct BootClock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  [[nodiscard]] static time_point now() noexcept
  {
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec) +
                      std::chrono::nanoseconds(reading.tv_nsec));
  }
};

/** A point in time on this host's boot clock. */
using TimePoint = BootClock::time_point;

/** A duration in milliseconds, the unit of settings and messages. */
using Millis = std::chrono::milliseconds;

/** Returns the time since boot in whole milliseconds. */
[[nodiscard]] constexpr Millis
SinceBoot(TimePoint aTime) noexcept
{
  return std::chrono::duration_cast<Millis>(aTime.time_since_epoch());
}

/** Returns a duration extended by a bound of the clock drift in parts per
    million. */
[[nodiscard]] constexpr std::chrono::nanoseconds
WithDrift(std::chrono::nanoseconds aDuration, unsigned aDriftPpm) noexcept
{
  constexpr long long kPartsPerMillion = 1'000'000;
  return aDuration + (aDuration / kPartsPerMillion) * aDriftPpm;
}

} // namespace sapphirehook

#endif
