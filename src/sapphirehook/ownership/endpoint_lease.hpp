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

/** Durations of an endpoint's lease. */
struct LeaseConfig
{
  std::chrono::nanoseconds m_lease{};
  unsigned m_driftPpm = 0;
  std::chrono::nanoseconds m_renewEvery{};
  /** Without an answer for this long the endpoint is given up. */
  std::chrono::nanoseconds m_suspectAfter{};
};

/** The safety rule of endpoint leases; see AuthorityRules. */
struct LeaseRules
{
  /** Partitions of a silent endpoint wait until its lease has run out. */
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

/** A call to an endpoint that renews its lease, or asks for its clock. */
struct LeaseCall
{
  std::uint64_t m_number = 0;
  FencingToken m_token;
  /** Run of the endpoint that the call is meant for; empty to ask only. */
  std::string m_boot;
  /** End of the lease on the endpoint's own clock. */
  Millis m_until{};
  /** The partitions are sent along, since they have changed. */
  bool m_withPartitions = false;
  TimePoint m_sentAt{};
};

/** What an endpoint said about itself in answer to a call. */
struct LeaseAnswer
{
  std::string m_boot;
  /** The endpoint's own monotonic clock when it answered. */
  Millis m_clock{};
  /** It holds the grant that the call named. */
  bool m_accepted = false;
  bool m_draining = false;
  /** Packed partitions of the requests that it runs. */
  std::vector<std::uint64_t> m_running;
};

/** The dispatcher's view of one endpoint's lease. Each renewal names the end
    of the lease on the endpoint's own clock, counted from the clock reading
    in an earlier answer, so that a call delayed on its way gives nothing
    beyond the time that the dispatcher has reckoned with. */
class EndpointLease
{
public:
  /** aEndsBy is when every lease that an earlier dispatcher may have given
      has run out. */
  EndpointLease(Term aTerm, LeaseConfig aConfig, TimePoint aEndsBy);

  /** Returns the call that is due, if any. One call is under way at a time. */
  [[nodiscard]] std::optional<LeaseCall> NextCall(TimePoint aNow);

  /** Records the answer to a call. */
  void OnAnswer(TimePoint aNow,
                const LeaseCall& aCall,
                const LeaseAnswer& aAnswer);

  /** Records that a call was not answered. */
  void OnFailure(TimePoint aNow, const LeaseCall& aCall);

  /** Asks for a new token, since the endpoint's partitions have changed. */
  void ChangeGrant() noexcept;

  /** Sets whether calls only ask for the clock and give no lease. */
  void SetProbeOnly(bool aProbeOnly) noexcept;

  /** Returns since when the endpoint has answered every call; the epoch when
      the last one failed. */
  [[nodiscard]] TimePoint AnsweringSince() const noexcept
  {
    return m_answeringSince;
  }

  /** Returns whether the endpoint has not answered for too long. */
  [[nodiscard]] bool IsSuspect(TimePoint aNow) const noexcept;

  /** Returns whether the endpoint has answered at least once. */
  [[nodiscard]] bool HasAnswered() const noexcept { return !m_boot.empty(); }

  /** Returns whether the endpoint holds the newest set of partitions. */
  [[nodiscard]] bool HoldsNewest() const noexcept { return m_accepted; }

  /** Returns up to when the endpoint surely holds its token. */
  [[nodiscard]] TimePoint UsableUntil() const noexcept;

  /** Returns whether the endpoint surely holds no lease any more, whatever
      call is still on its way. */
  template<LeaseRuleSet Rules = LeaseRules>
  [[nodiscard]] bool HasEnded(TimePoint aNow) const noexcept
  {
    return !Rules::kWaitForLease || aNow >= m_endsBy;
  }

  /** Returns the newest token that the endpoint has accepted. */
  [[nodiscard]] const FencingToken& HeldToken() const noexcept
  {
    return m_heldToken;
  }

  /** Returns the endpoint's last answer. */
  [[nodiscard]] const LeaseAnswer& LastAnswer() const noexcept
  {
    return m_lastAnswer;
  }

private:
  LeaseConfig m_config;
  FencingToken m_token;
  FencingToken m_heldToken;
  std::uint64_t m_nextCall = 1;
  std::uint64_t m_underWay = 0;
  TimePoint m_nextDue{};
  TimePoint m_endsBy{};
  std::string m_boot;
  Millis m_reading{};
  TimePoint m_readingAskedAt{};
  TimePoint m_readingReceivedAt{};
  TimePoint m_lastHeard{};
  TimePoint m_firstCall{};
  TimePoint m_usableUntil{};
  TimePoint m_answeringSince{};
  bool m_probeOnly = false;
  bool m_accepted = false;
  LeaseAnswer m_lastAnswer;
};

} // namespace sapphirehook

#endif
