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

  /** Returns the current time. */
  [[nodiscard]] static time_point now() noexcept
  {
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec) +
                      std::chrono::nanoseconds(reading.tv_nsec));
  }
};

/** A moment on this host's boot clock. */
using TimePoint = BootClock::time_point;

/** A span of time in milliseconds, as settings and messages state it. */
using Millis = std::chrono::milliseconds;

/** Returns the whole milliseconds of a moment on the boot clock. */
[[nodiscard]] constexpr Millis
SinceBoot(TimePoint aMoment) noexcept
{
  return std::chrono::duration_cast<Millis>(aMoment.time_since_epoch());
}

/** Returns the span lengthened by a clock drift bound in parts per million. */
[[nodiscard]] constexpr std::chrono::nanoseconds
WithDrift(std::chrono::nanoseconds aSpan, unsigned aDriftPpm) noexcept
{
  constexpr long long kPartsPerMillion = 1'000'000;
  return aSpan + (aSpan / kPartsPerMillion) * aDriftPpm;
}

} // namespace sapphirehook

#endif
