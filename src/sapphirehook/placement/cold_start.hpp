#ifndef SAPPHIREHOOK_PLACEMENT_COLD_START_HPP
#define SAPPHIREHOOK_PLACEMENT_COLD_START_HPP

#include "sapphirehook/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirehook {

/** Limit on the requests of all hosts together to one cold endpoint. */
struct ColdLimit
{
  /** Requests per second that a cold endpoint tolerates; 0 if there is no
      limit. */
  double m_rate = 0.0;
  /** Largest number of requests in any second. */
  std::size_t m_perSecond = 0;

  bool operator==(const ColdLimit&) const = default;
};

/** Returns the limit of a service: aRate x aOverrun + aSlack, rounded down. */
[[nodiscard]] ColdLimit
MakeColdLimit(double aRate, double aOverrun, double aSlack) noexcept;

/** The hosts that may send to the same endpoints, as one host knows them. */
class KnownHosts
{
public:
  explicit KnownHosts(std::string_view aSelf);

  /** Adds hosts. Hosts are never removed: a host that this one cannot reach may
      still send. */
  void Add(const std::vector<std::string>& aHosts);

  /** Raises the number of hosts, some of which may not be known by name. */
  void RaiseCount(std::size_t aCount) noexcept;

  /** Records that the list is complete, so that limits can be divided. */
  void SetComplete() noexcept { m_isComplete = true; }

  /** Returns the number of hosts, or 0 while it is not known. */
  [[nodiscard]] std::size_t Count() const noexcept
  {
    return m_isComplete ? m_count : 0;
  }

  /** Returns this host's position among the known hosts in the rendezvous order
      of an item; 0 is the first. */
  [[nodiscard]] std::size_t RankFor(std::uint64_t aItem) const noexcept;

  /** Returns the number of hosts that are known by name. Positions change only
      with it. */
  [[nodiscard]] std::size_t Named() const noexcept { return m_hosts.size(); }

  [[nodiscard]] std::uint64_t Self() const noexcept { return m_self; }

private:
  std::uint64_t m_self;
  /** Hashes of the names, sorted. */
  std::vector<std::uint64_t> m_hosts;
  std::size_t m_count = 1;
  bool m_isComplete = false;
};

/** Which hosts send requests without a key to a cold endpoint, and how often
    each of them does. */
struct ColdSenders
{
  std::size_t m_hosts = 1;
  std::chrono::nanoseconds m_spacing{};
};

/** Divides a limit among the fewest hosts of which each sends at most about
    once a second, so that hosts with different lists of the fleet, which choose
    more senders, still keep to the limit. */
[[nodiscard]] ColdSenders
DivideColdLimit(ColdLimit aLimit, std::size_t aHosts) noexcept;

/** How many requests with a key each host sends to a cold endpoint: in each
    period of kColdPeriod it sends up to m_quota requests with probability
    m_probability, and otherwise none. */
struct ColdThinning
{
  std::size_t m_quota = 1;
  double m_probability = 0.0;
};

/** Length of a period of ColdThinning. Shorter periods waste admissions when
    each host has few requests; longer ones let more of the hosts that have an
    admission left send within one second. */
inline constexpr Millis kColdPeriod{ 500 };

/** Returns the thinning for which the number of requests exceeds the limit with
    negligible probability even if all hosts always have requests. */
[[nodiscard]] ColdThinning
ThinForColdLimit(ColdLimit aLimit, std::size_t aHosts) noexcept;

/** Decides whether this host may send one more request to an endpoint that is
    cold or has been until recently. Each host has a share of the endpoint's
    limit that it can compute alone, so the limit holds without agreement and
    while hosts cannot reach each other. */
class ColdStart
{
public:
  explicit ColdStart(std::string_view aEndpoint);

  /** Updates the time at which the endpoint stops being cold. The ramp after it
      takes aRamp. */
  void Update(TimePoint aNow,
              TimePoint aWarmAt,
              std::chrono::nanoseconds aRamp);

  [[nodiscard]] bool IsCold(TimePoint aNow) const noexcept
  {
    return aNow < m_warmAt;
  }

  /** Whether MaySend() may return false: the endpoint is cold, or the ramp
      after it is in progress. */
  [[nodiscard]] bool IsLimited(TimePoint aNow) const noexcept
  {
    return aNow < m_warmAt + m_ramp;
  }

  /** Returns whether this host may send one request now. A request with a key
      can only go to the endpoint that holds the key, so any host may have to
      send it. */
  [[nodiscard]] bool MaySend(TimePoint aNow,
                             ColdLimit aLimit,
                             const KnownHosts& aHosts,
                             bool aHasKey) const;

  /** Records a request that this host has sent to the endpoint. */
  void OnSent(TimePoint aNow,
              ColdLimit aLimit,
              const KnownHosts& aHosts,
              bool aHasKey);

  /** Returns the capacity to plan with: at most the tolerated rate while the
      endpoint is cold, and an increasing part of aFull during the ramp. */
  [[nodiscard]] double Capacity(TimePoint aNow,
                                double aTolerated,
                                double aFull) const noexcept;

private:
  [[nodiscard]] std::int64_t Period(TimePoint aNow,
                                    const KnownHosts& aHosts) const noexcept;
  /** Returns the number of requests that this host may send in the ramp now. */
  [[nodiscard]] double RampCredit(TimePoint aNow,
                                  ColdLimit aLimit,
                                  const KnownHosts& aHosts) const noexcept;
  [[nodiscard]] std::size_t Rank(const KnownHosts& aHosts) const noexcept;
  [[nodiscard]] const ColdThinning& Thinning(ColdLimit aLimit,
                                             std::size_t aHosts) const;
  /** Share of the ramp that has passed, between 0 and 1. */
  [[nodiscard]] double RampShare(TimePoint aNow) const noexcept;

  std::uint64_t m_endpoint;
  TimePoint m_warmAt{};
  std::chrono::nanoseconds m_ramp{};
  /** Whether this host already knew the endpoint at the last update. */
  bool m_isKnown = false;
  /** Earliest time of the first request while the endpoint is cold. */
  TimePoint m_quietUntil{};
  /** Earliest time of the next request without a key. Empty before the first
      one, which is sent at a random phase after m_quietUntil. */
  std::optional<TimePoint> m_nextAt;
  /** Period of the last request with a key, and the number in it. */
  std::int64_t m_sentPeriod = -1;
  std::size_t m_sentInPeriod = 0;
  /** This host's position among the hosts, for the last number of names. */
  mutable std::size_t m_rank = 0;
  mutable std::size_t m_rankedHosts = 0;
  /** Thinning for the last limit and number of hosts. */
  mutable ColdThinning m_thinning;
  mutable ColdLimit m_thinnedLimit;
  mutable std::size_t m_thinnedHosts = 0;
  /** Requests that this host might still send just after the last one in the
      ramp. Empty before the first one. */
  std::optional<double> m_credit;
  TimePoint m_creditAt{};
};

} // namespace sapphirehook

#endif
