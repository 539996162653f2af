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
  /** Number of requests that the endpoint runs concurrently. */
  std::size_t m_slots = 6;
  /** Number of slots that are always available to long requests. */
  std::size_t m_longSlots = 2;
  /** Number of slots reserved for short requests, even on an idle endpoint.
      Applies to long requests beyond m_longSlots. */
  std::size_t m_shortReserve = 2;
  /** Maximum number of waiting requests. */
  std::size_t m_maxWaiting = 1024;
  /** How long the peak number of concurrent short requests is retained. */
  std::chrono::nanoseconds m_peakRetention = std::chrono::seconds(1);
  /** Initial number of slots of an endpoint that has just come up. One more
      slot opens with each answered request. */
  std::size_t m_coldSlots = 2;
};

/** A request that waits for a slot. */
struct QueuedRequest
{
  std::uint64_t m_id = 0;
  bool m_long = false;
  TimePoint m_deadline{};
};

/** Moving estimate of an endpoint's service time. */
struct ServiceTimeEstimate
{
  std::chrono::nanoseconds m_mean{};
  /** Mean absolute deviation of the observations from the mean. */
  std::chrono::nanoseconds m_deviation{};

  /** Adds an observed service time. */
  void Observe(std::chrono::nanoseconds aServiceTime) noexcept;

  /** Returns the service time within which nearly every request completes. */
  [[nodiscard]] std::chrono::nanoseconds Tail() const noexcept;
};

/** The waiting and running requests of one endpoint, with an exact count of its
    used slots. Short requests are sent before long ones, and requests of the
    same kind in order of their deadlines. Requests that can no longer meet
    their deadlines are not sent. */
class EndpointQueue
{
public:
  explicit EndpointQueue(QueueConfig aConfig)
    : m_config(aConfig)
    , m_openSlots(aConfig.m_slots)
  {
  }

  /** Adds a request. Returns the refused requests, which may include the new
      request. A full queue refuses the request with the earliest deadline among
      those of the same kind. */
  [[nodiscard]] std::vector<std::uint64_t> Offer(TimePoint aNow,
                                                 const QueuedRequest& aRequest);

  /** Removes and returns the requests that can no longer be answered in time.
      While more requests wait than the endpoint has slots, the time left is
      compared with ServiceTimeEstimate::Tail() instead of the mean, since a
      request that is answered late occupies a slot that another could use. */
  [[nodiscard]] std::vector<std::uint64_t> Expire(TimePoint aNow);

  /** Removes the next request that may be sent from the queue and counts it as
      running. aOccupied is the number of slots in use by requests outside this
      queue. */
  [[nodiscard]] std::optional<QueuedRequest> Next(TimePoint aNow,
                                                  std::size_t aOccupied);

  /** Removes a request from the running ones. aServiceTime is its service time,
      or empty if the endpoint did not answer. */
  void OnEnded(TimePoint aNow,
               std::uint64_t aId,
               std::optional<std::chrono::nanoseconds> aServiceTime);

  /** Removes a waiting request. Returns whether it was waiting. */
  bool Remove(std::uint64_t aId);

  /** Removes and returns all waiting requests. */
  [[nodiscard]] std::vector<std::uint64_t> RemoveAll();

  /** Reduces the open slots to QueueConfig::m_coldSlots, for an endpoint that
      has just come up. */
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
                  const ServiceTimeEstimate& aEstimate,
                  std::vector<std::uint64_t>& aExpired) const;
  [[nodiscard]] std::size_t RunningLong() const noexcept;
  [[nodiscard]] bool CanStartLong(TimePoint aNow, std::size_t aOccupied) const;
  void UpdateShortPeak(TimePoint aNow);
  QueuedRequest Start(std::set<Waiter>& aFrom, bool aLong);

  QueueConfig m_config;
  std::size_t m_openSlots;
  std::set<Waiter> m_short;
  std::set<Waiter> m_long;
  /** Running requests by id; the value is true for long requests. */
  std::map<std::uint64_t, bool> m_running;
  ServiceTimeEstimate m_shortServiceTime;
  ServiceTimeEstimate m_longServiceTime;
  std::size_t m_shortPeak = 0;
  TimePoint m_peakSince{};
};

} // namespace sapphirehook

#endif
