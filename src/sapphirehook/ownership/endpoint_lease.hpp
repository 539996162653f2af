#ifndef SAPPHIREHOOK_OWNERSHIP_ENDPOINT_LEASE_HPP
#define SAPPHIREHOOK_OWNERSHIP_ENDPOINT_LEASE_HPP

#include "sapphirehook/core/ids.hpp"
#include "sapphirehook/core/time.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sapphirehook {

/** Timing parameters of an endpoint's lease. */
struct LeaseConfig
{
  std::chrono::nanoseconds m_lease{};
  unsigned m_driftPpm = 0;
  std::chrono::nanoseconds m_renewEvery{};
  /** Time without an answer after which the endpoint is suspected to have
      failed. */
  std::chrono::nanoseconds m_suspectAfter{};
};

/** The safety rule of endpoint leases. Tests disable it, as with
    AuthorityRules. */
struct LeaseRules
{
  /** Partitions of an unresponsive endpoint are reassigned only after its lease
      has expired. */
  static constexpr bool kWaitForLease = true;
};

/** Any set of lease rules. */
template<typename Rules>
concept LeaseRuleSet = requires
{
  {
    Rules::kWaitForLease
    } -> std::convertible_to<bool>;
};

/** A call that renews the lease of an endpoint, or only reads its clock. */
struct LeaseCall
{
  std::uint64_t m_number = 0;
  FencingToken m_token;
  /** Boot id of the endpoint process that receives the lease. Empty for a call
      that only reads the clock. */
  std::string m_boot;
  /** Lease expiry on the endpoint's own clock. */
  Millis m_until{};
  /** The call carries the granted partitions because they have changed. */
  bool m_withPartitions = false;
  TimePoint m_sentAt{};
};

/** The state that an endpoint reports in the answer to a lease call. */
struct LeaseAnswer
{
  std::string m_boot;
  /** Reading of the endpoint's monotonic clock at the time of the answer. */
  Millis m_clock{};
  /** The endpoint holds the grant with the token of the call. */
  bool m_accepted = false;
  bool m_draining = false;
  /** Packed partitions of the requests that the endpoint runs. */
  std::vector<std::uint64_t> m_running;
};

/** The dispatcher's state of one endpoint's lease. Each renewal carries the
    lease expiry on the endpoint's own clock, computed from the clock reading in
    an earlier answer. A delayed call therefore cannot extend the lease beyond
    the expiry that the dispatcher has computed. */
class EndpointLease
{
public:
  /** aLatestExpiry is the time at which every lease given by an earlier
      dispatcher has expired. */
  EndpointLease(Term aTerm, LeaseConfig aConfig, TimePoint aLatestExpiry);

  /** Returns the call that is due, if any. At most one call is in flight. */
  [[nodiscard]] std::optional<LeaseCall> NextCall(TimePoint aNow);

  /** Handles the answer to a call. Answers to superseded calls are ignored. */
  void OnAnswer(TimePoint aNow,
                const LeaseCall& aCall,
                const LeaseAnswer& aAnswer);

  /** Handles a call that failed or timed out. */
  void OnFailure(TimePoint aNow, const LeaseCall& aCall);

  /** Starts a new grant after the endpoint's partitions have changed: advances
      the token and makes a call due at once. */
  void ChangeGrant() noexcept;

  /** Sets whether calls only read the clock and grant no lease. */
  void SetProbeOnly(bool aProbeOnly) noexcept;

  /** Returns since when the endpoint has answered every call, or the epoch if
      the last call failed. */
  [[nodiscard]] TimePoint AnsweringSince() const noexcept
  {
    return m_answeringSince;
  }

  /** Returns whether the endpoint has not answered for the suspect timeout. */
  [[nodiscard]] bool IsSuspect(TimePoint aNow) const noexcept;

  /** Returns whether the endpoint has answered at least once. */
  [[nodiscard]] bool HasAnswered() const noexcept { return !m_boot.empty(); }

  /** Returns whether the endpoint has accepted the newest set of partitions. */
  [[nodiscard]] bool HasAcceptedNewest() const noexcept { return m_accepted; }

  /** Returns the time until which the endpoint is guaranteed to hold
      its accepted token. */
  [[nodiscard]] TimePoint UsableUntil() const noexcept;

  /** Returns whether every lease of the endpoint has expired, including that of
      any call still in flight. */
  template<LeaseRuleSet Rules = LeaseRules>
  [[nodiscard]] bool HasExpired(TimePoint aNow) const noexcept
  {
    return !Rules::kWaitForLease || aNow >= m_latestExpiry;
  }

  /** Returns the newest token that the endpoint has accepted. */
  [[nodiscard]] const FencingToken& AcceptedToken() const noexcept
  {
    return m_acceptedToken;
  }

  /** Returns the endpoint's last answer. */
  [[nodiscard]] const LeaseAnswer& LastAnswer() const noexcept
  {
    return m_lastAnswer;
  }

private:
  LeaseConfig m_config;
  FencingToken m_token;
  FencingToken m_acceptedToken;
  std::uint64_t m_nextCall = 1;
  std::uint64_t m_inFlight = 0;
  TimePoint m_nextDue{};
  TimePoint m_latestExpiry{};
  std::string m_boot;
  Millis m_reading{};
  TimePoint m_readingAskedAt{};
  TimePoint m_readingReceivedAt{};
  TimePoint m_lastAnswerAt{};
  TimePoint m_firstCall{};
  TimePoint m_usableUntil{};
  TimePoint m_answeringSince{};
  bool m_probeOnly = false;
  bool m_accepted = false;
  LeaseAnswer m_lastAnswer;
};

} // namespace sapphirehook

#endif
