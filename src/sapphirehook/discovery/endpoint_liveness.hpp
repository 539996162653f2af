#ifndef SAPPHIREHOOK_DISCOVERY_ENDPOINT_LIVENESS_HPP
#define SAPPHIREHOOK_DISCOVERY_ENDPOINT_LIVENESS_HPP

#include "sapphirehook/discovery/endpoint_directory.hpp"

#include <map>
#include <string>

namespace sapphirehook {

/** Durations that bound how long an address and an entry outlive an endpoint.
 */
struct LivenessTimes
{
  /** Time from the end of an endpoint until its address may be assigned to
      another endpoint. */
  Millis m_addressReuse{ 2000 };
  /** Time after an endpoint's last heartbeat by which the store has removed its
      entry, if the store was available all the while. */
  Millis m_entryLapse{ 3000 };
  /** Largest amount by which this host's clock may run slow. */
  unsigned m_driftPpm = 20'000;
};

/** Determines whether a connection leads to the endpoint that the directory
    lists at the connection's address.

    An endpoint that is lost stays listed for some seconds, and its address may
    be assigned to an endpoint of another service meanwhile. Commands name no
    endpoint, so the new one would execute those meant for the lost one.

    The address of an endpoint that ran at a time t is not assigned again before
    t + m_addressReuse. A connection that was established by then leads to that
    endpoint or, if it has ended since, to none. */
class EndpointLiveness
{
public:
  EndpointLiveness(const EndpointDirectory& aDirectory, LivenessTimes aTimes)
    : m_directory(aDirectory)
    , m_times(aTimes)
  {
  }

  /** Records that an endpoint ran at an address at a time. */
  void OnAlive(const std::string& aName,
               const sockaddr_in& aAddress,
               TimePoint aAt);

  /** Records that the directory contained all entries of the store as of a
      time. */
  void OnComplete(TimePoint aAt);

  /** Records that the store has failed to answer, or has been restored. Entries
      may lapse late, so the directory proves nothing until the store has been
      available for m_entryLapse. */
  void OnStoreUnavailable(TimePoint aNow);

  /** Returns whether a connection to an endpoint's address that was established
      at a time leads to no other endpoint. */
  [[nodiscard]] bool LeadsTo(const EndpointIncarnation& aIncarnation,
                             const sockaddr_in& aAddress,
                             TimePoint aConnectedAt) const;

  /** Deletes the records that prove nothing for connections established from
      now on. */
  void Forget(TimePoint aNow);

private:
  struct Observation
  {
    sockaddr_in m_address{};
    TimePoint m_at{};
  };

  /** Returns when the address of an endpoint that ran at a time may be assigned
      again, on this host's clock. */
  [[nodiscard]] TimePoint ReusedFrom(TimePoint aAliveAt) const noexcept;

  const EndpointDirectory& m_directory;
  LivenessTimes m_times;
  std::map<std::string, Observation> m_observations;
  /** Every listed endpoint ran at this time or later. */
  TimePoint m_listedAliveAt{};
  TimePoint m_completeAt{};
  /** The store has been available since this time. */
  TimePoint m_availableSince{};
};

} // namespace sapphirehook

#endif
