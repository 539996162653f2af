#ifndef SAPPHIREHOOK_PLACEMENT_ENDPOINT_LOAD_HPP
#define SAPPHIREHOOK_PLACEMENT_ENDPOINT_LOAD_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/placement/slot_reserve.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirehook {

/** How an attempt to send a request to an endpoint ended. */
enum class AttemptEnd : unsigned char
{
  /** The endpoint ran the request and answered. */
  Answered,
  /** The endpoint answered with an error of its own. */
  Failed,
  /** The endpoint stated that it did not run the request. */
  NotRun,
  /** The endpoint does not own the key, or another endpoint answered. */
  Misdirected,
  /** The request could not be sent. */
  NotSent,
  /** The connection was lost, or the answer was malformed. */
  Lost,
  /** The caller disconnected, or the request timed out. */
  Abandoned,
  /** The endpoint did not begin to answer in the time that its load
      explains. */
  Unresponsive,
};

/** Load and speed of one endpoint as known to this daemon. They derive from the
    requests of this daemon and its peers, and from the answers. */
class EndpointLoad
{
public:
  explicit EndpointLoad(std::size_t aSlots)
    : m_slots(aSlots)
  {
  }

  /** Records that a request is sent whose work relative to the service's mean
      is aWork. Returns its expected slowdown: the multiple of the service time
      that a request of mean work takes, since it may queue at the endpoint. */
  double OnSent(TimePoint aNow, double aWork = 1.0);

  /** Records the end of an attempt. aSlowdown is the result of OnSent(). */
  void OnEnd(TimePoint aNow,
             AttemptEnd aEnd,
             std::chrono::nanoseconds aTook,
             double aSlowdown);

  /** Requests running at an endpoint, the overdue ones among them, and requests
      that wait at daemons for this endpoint only. */
  struct Use
  {
    std::size_t m_running = 0;
    std::size_t m_overdue = 0;
    std::size_t m_waiting = 0;
  };

  /** Takes a peer's report of its requests at the endpoint. */
  void OnPeer(TimePoint aNow, const std::string& aPeer, Use aUse);

  /** Returns the requests of all daemons at the endpoint as the daemons report
      them. */
  [[nodiscard]] Use AllUse(TimePoint aNow) const;

  /** Takes the number of requests, running and waiting, that the endpoint
      states in an answer to this daemon. The answered request is still among
      this daemon's and not among the stated ones. aPace is the time that work
      currently takes there, in percent of the usual time. */
  void OnReported(TimePoint aNow,
                  std::size_t aRequests,
                  std::optional<std::size_t> aPace);

  /** Returns the estimated number of requests of all daemons at the endpoint.

      This daemon's own requests are known exactly at any time. For the others,
      the newest figure takes precedence: what the endpoint stated is exact at
      the time of its answer, while a peer's report is already 150 to 450 ms old
      when it is used. Therefore the endpoint's figure applies for 300 ms, and
      the peers' reports apply after that, when they describe a later time. */
  [[nodiscard]] std::size_t Running(TimePoint aNow) const;

  /** Returns whether all slots may have been occupied at some time since
      aSince, given the age of the peers' reports. */
  [[nodiscard]] bool MayHaveBeenFull(TimePoint aSince) const noexcept;

  /** Returns this daemon's requests at the endpoint. */
  [[nodiscard]] Use OwnUse(TimePoint aNow) const;

  /** Records that a request begins or ends to wait for this endpoint. */
  void OnWaitBegins() noexcept { ++m_waiting; }
  void OnWaitEnds() noexcept { m_waiting -= m_waiting > 0 ? 1 : 0; }

  /** Returns the expected waiting time of a request that begins to wait for
      this endpoint. */
  [[nodiscard]] std::chrono::nanoseconds ExpectedWait(
    TimePoint aNow,
    std::chrono::nanoseconds aTypical) const;
  [[nodiscard]] std::size_t OwnRunning() const noexcept
  {
    return m_sent.size();
  }

  /** Returns the overdue share of the endpoint's requests, or zero while a few
      long requests explain the overdue ones. */
  [[nodiscard]] double OverdueShare(TimePoint aNow) const;

  /** Returns the number of requests that the endpoint may have: its slots, plus
      a few that keep slots busy between two requests. Zero while it is full. */
  [[nodiscard]] std::size_t Limit(TimePoint aNow) const;

  [[nodiscard]] bool HasCapacity(TimePoint aNow) const
  {
    return Running(aNow) < Limit(aNow);
  }

  /** Returns whether a request would not queue at the endpoint. */
  [[nodiscard]] bool HasFreeSlot(TimePoint aNow) const
  {
    return Running(aNow) < m_slots;
  }

  /** Returns whether the endpoint has capacity for a request of a kind that may
      be limited to a part of the slots. */
  [[nodiscard]] bool HasCapacity(TimePoint aNow,
                                 const SlotReserve& aReserve) const
  {
    return HasCapacity(aNow) && aReserve.Allows(Running(aNow), m_slots);
  }

  /** Takes a peer's report of the number of its answers and their mean service
      time. */
  void OnPeerAnswers(std::size_t aAnswers,
                     std::chrono::nanoseconds aService) noexcept;

  /** Takes the mean service time over all daemons, as the leader reports it. */
  void OnFleetService(std::chrono::nanoseconds aService) noexcept
  {
    m_fleetService = aService;
  }

  /** This daemon's unreported answers and their mean service time. */
  struct Answers
  {
    std::size_t m_count = 0;
    std::chrono::nanoseconds m_service{};
  };
  [[nodiscard]] Answers TakeAnswers() noexcept;

  /** Returns the mean service time of a request of the service's mean work,
      without queueing, over all daemons. Zero while there are too few
      answers. */
  [[nodiscard]] std::chrono::nanoseconds ServiceTime() const noexcept;

  /** Returns the mean service time, or aTypical while there are too few
      answers. */
  [[nodiscard]] std::chrono::nanoseconds ServiceTimeOr(
    std::chrono::nanoseconds aTypical) const noexcept;

  /** Returns the time that work currently takes relative to the usual time. The
      endpoint's figure changes many times a second, so an old one is
      ignored. */
  [[nodiscard]] double Pace(TimePoint aNow) const noexcept;

  /** Returns the expected time until a request sent now is answered. Each of
      this daemon's running requests counts as aOwnWeight requests. aWork is the
      request's work relative to the service's mean. */
  [[nodiscard]] std::chrono::nanoseconds ExpectedFinish(
    TimePoint aNow,
    std::chrono::nanoseconds aTypical,
    double aOwnWeight,
    double aWork = 1.0) const;

  /** Returns whether the endpoint gets no requests because it failed
      recently. */
  [[nodiscard]] bool IsEjected(TimePoint aNow) const noexcept
  {
    return aNow < m_ejectedUntil;
  }

  [[nodiscard]] std::size_t Slots() const noexcept { return m_slots; }

private:
  struct PeerUse
  {
    Use m_use;
    TimePoint m_reportedAt{};
  };

  /** A running request of this daemon. */
  struct Sent
  {
    TimePoint m_at{};
    double m_work = 1.0;
  };

  static constexpr std::size_t kEnoughSamples = 5; // answers

  std::size_t m_slots;
  std::vector<Sent> m_sent;
  std::size_t m_waiting = 0;
  std::map<std::string, PeerUse> m_peers;
  [[nodiscard]] double Slowdown(double aRunning) const noexcept;
  /** Returns the limit of an endpoint that is not full. */
  [[nodiscard]] std::size_t MaxRunning() const noexcept;
  /** Records the time if all slots are occupied. */
  void NoteLoad(TimePoint aNow);
  void AddAnswers(std::size_t aAnswers,
                  std::chrono::nanoseconds aService) noexcept;
  void AddOwnAnswer(std::chrono::nanoseconds aService) noexcept;

  /** Mean service time and its number of samples. */
  std::chrono::nanoseconds m_service{};
  std::size_t m_samples = 0;
  std::chrono::nanoseconds m_fleetService{};
  /** Number of own answers since the last TakeAnswers() call, and the sum of
      their service times. */
  std::size_t m_unreported = 0;
  std::chrono::nanoseconds m_unreportedTime{};
  double m_failures = 0.0;
  unsigned m_failuresInRow = 0;
  TimePoint m_ejectedUntil{};
  TimePoint m_fullUntil{};
  /** Last time when all slots were known to be occupied. */
  TimePoint m_occupiedAt{};
  /** Requests of other daemons and pace according to the endpoint. */
  std::size_t m_reportedOthers = 0;
  TimePoint m_reportedAt{};
  double m_pace = 1.0;
  TimePoint m_pacedAt{};
};

} // namespace sapphirehook

#endif
