#ifndef SAPPHIREHOOK_DISPATCH_ENDPOINT_QUEUE_HPP
#define SAPPHIREHOOK_DISPATCH_ENDPOINT_QUEUE_HPP

#include "sapphirehook/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sapphirehook {

/** Limits of one endpoint's queue. */
struct QueueConfig
{
  /** Requests that the endpoint runs at once. */
  std::size_t m_slots = 6;
  /** Slots that long requests may always use. */
  std::size_t m_longSlots = 2;
  /** Slots that long requests never use, however idle the endpoint is. */
  std::size_t m_shortReserve = 2;
  /** Requests that wait at most, whatever their deadlines. */
  std::size_t m_maxWaiting = 1024;
  /** How long the largest number of short requests at once is remembered. */
  std::chrono::nanoseconds m_peakMemory = std::chrono::seconds(1);
  /** Slots of an endpoint that has just come up; one more opens with each
      finished request. */
  std::size_t m_coldSlots = 2;
};

/** A request that waits for a slot. */
struct QueuedRequest
{
  std::uint64_t m_id = 0;
  bool m_long = false;
  TimePoint m_deadline{};
};

/** Running estimate of how long an endpoint works on a request. */
struct ServiceEstimate
{
  std::chrono::nanoseconds m_mean{};
  /** Mean distance of an observation from the mean. */
  std::chrono::nanoseconds m_deviation{};

  /** Takes an observation in. */
  void Observe(std::chrono::nanoseconds aServed) noexcept;

  /** Returns a time within which nearly every request is done. */
  [[nodiscard]] std::chrono::nanoseconds Tail() const noexcept;
};

/** Waiting and running requests of one endpoint, with an exact count of its
    slots. Short requests go before long ones and the earliest deadline goes
    first among equals; what can no longer meet its deadline is not sent. */
class EndpointQueue
{
public:
  explicit EndpointQueue(QueueConfig aConfig)
    : m_config(aConfig)
    , m_openSlots(aConfig.m_slots)
  {
  }

  /** Adds a request. Returns the requests that are refused for it, which may
      be the request itself: those with the least time left go first. */
  [[nodiscard]] std::vector<std::uint64_t> Offer(TimePoint aNow,
                                                 const QueuedRequest& aRequest);

  /** Removes and returns the requests that can no longer be answered in time.
      While more wait than the endpoint has slots, a request must have the
      time in which nearly every request is done, since a late answer would
      cost another its slot. */
  [[nodiscard]] std::vector<std::uint64_t> Expire(TimePoint aNow);

  /** Takes the next request that may be sent, and counts it as running.
      aOccupied is the number of slots that others use. */
  [[nodiscard]] std::optional<QueuedRequest> Next(TimePoint aNow,
                                                  std::size_t aOccupied);

  /** Counts a running request as ended. aServed is how long the endpoint
      worked on it, or empty when it did not answer. */
  void OnEnded(TimePoint aNow,
               std::uint64_t aId,
               std::optional<std::chrono::nanoseconds> aServed);

  /** Removes a waiting request. Returns whether it was waiting. */
  bool Remove(std::uint64_t aId);

  /** Removes and returns all waiting requests. */
  [[nodiscard]] std::vector<std::uint64_t> RemoveAll();

  /** Opens few slots at first, for an endpoint that has just come up. */
  void StartCold() noexcept { m_openSlots = m_config.m_coldSlots; }

  /** Halves the open slots, for an endpoint that has refused a request. */
  void BackOff() noexcept;

  [[nodiscard]] std::size_t Waiting() const noexcept
  {
    return m_short.size() + m_long.size();
  }

  [[nodiscard]] std::size_t Running() const noexcept
  {
    return m_running.size();
  }

private:
  struct Waiter
  {
    TimePoint m_deadline{};
    std::uint64_t m_id = 0;
    auto operator<=>(const Waiter&) const = default;
  };

  void ExpireFrom(TimePoint aNow,
                  std::set<Waiter>& aWaiters,
                  const ServiceEstimate& aEstimate,
                  std::vector<std::uint64_t>& aExpired) const;
  [[nodiscard]] std::size_t RunningLong() const noexcept;
  [[nodiscard]] bool LongMayRun(TimePoint aNow, std::size_t aOccupied) const;
  void NoteShortPeak(TimePoint aNow);
  QueuedRequest Start(std::set<Waiter>& aFrom, bool aLong);

  QueueConfig m_config;
  std::size_t m_openSlots;
  std::set<Waiter> m_short;
  std::set<Waiter> m_long;
  /** Running requests; true for long ones. */
  std::map<std::uint64_t, bool> m_running;
  ServiceEstimate m_shortService;
  ServiceEstimate m_longService;
  std::size_t m_shortPeak = 0;
  TimePoint m_peakSince{};
};

} // namespace sapphirehook

#endif
