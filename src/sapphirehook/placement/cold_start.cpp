#include "sapphirehook/placement/cold_start.hpp"

#include "sapphirehook/core/hash.hpp"

#include <algorithm>
#include <cmath>

namespace sapphirehook {

namespace {

using Seconds = std::chrono::duration<double>;

/** A running endpoint that turns cold gets no requests for this long: those
    that were sent just before already count against the limit. */
constexpr Millis kQuietTime{ 1000 };
/** Requests spaced for one second may arrive closer to each other, by the
    difference of two network delays. */
constexpr double kSpacingMargin = 1.1;
/** Factor by which the true number of hosts may exceed the one that all hosts
    know. */
constexpr double kHostsMargin = 1.3;
/** Largest probability that a second exceeds the limit when all hosts always
    have requests with keys for the endpoint. With less demand it is far
    smaller: at 68 hosts that send at the mean rate, 1e-8. */
constexpr double kMaxExcessProbability = 1e-4;
/** Periods of one host that overlap with a window of one second. */
constexpr double kPeriodsPerWindow =
  1.0 + std::chrono::duration<double>(1.0) / kColdPeriod;
/** During the ramp the rate of all hosts grows from the tolerated rate to this
    multiple of it. */
constexpr double kRampGrowth = 32.0;
/** Steps of the search for a probability. */
constexpr int kSearchSteps = 30;

/** Returns a number in [0, 1) that depends on a hash only. */
double
UnitOf(std::uint64_t aHash) noexcept
{
  constexpr unsigned kUnusedBits = 11; // a double has 53 bits of precision
  return std::ldexp(static_cast<double>(aHash >> kUnusedBits), -53);
}

/** Returns the probability that more than aMost of aTrials independent trials
    succeed. */
double
ExcessProbability(double aTrials, double aProbability, std::size_t aMost)
{
  if (static_cast<double>(aMost) >= aTrials) {
    return 0.0;
  }
  if (aProbability >= 1.0) {
    return 1.0;
  }
  if (aProbability <= 0.0) {
    return 0.0;
  }
  double within = 0.0;
  for (std::size_t i = 0; i <= aMost; ++i) {
    const auto count = static_cast<double>(i);
    within += std::exp(std::lgamma(aTrials + 1.0) - std::lgamma(count + 1.0) -
                       std::lgamma(aTrials - count + 1.0) +
                       count * std::log(aProbability) +
                       (aTrials - count) * std::log1p(-aProbability));
  }
  return std::max(1.0 - within, 0.0);
}

} // namespace

ColdLimit
MakeColdLimit(double aRate, double aOverrun, double aSlack) noexcept
{
  return { aRate,
           static_cast<std::size_t>(
             std::max(std::floor(aRate * aOverrun + aSlack), 0.0)) };
}

KnownHosts::KnownHosts(std::string_view aSelf)
  : m_self(StableHash(aSelf))
  , m_hosts{ m_self }
{
}

void
KnownHosts::Add(const std::vector<std::string>& aHosts)
{
  for (const auto& host : aHosts) {
    const auto hash = StableHash(host);
    const auto at = std::lower_bound(m_hosts.begin(), m_hosts.end(), hash);
    if (at == m_hosts.end() || *at != hash) {
      m_hosts.insert(at, hash);
    }
  }
  RaiseCount(m_hosts.size());
}

void
KnownHosts::RaiseCount(std::size_t aCount) noexcept
{
  m_count = std::max(m_count, aCount);
}

std::size_t
KnownHosts::RankFor(std::uint64_t aItem) const noexcept
{
  const auto own = MixHashes(aItem, m_self);
  return static_cast<std::size_t>(
    std::count_if(m_hosts.begin(), m_hosts.end(), [&](std::uint64_t aHost) {
      return MixHashes(aItem, aHost) > own;
    }));
}

ColdSenders
DivideColdLimit(ColdLimit aLimit, std::size_t aHosts) noexcept
{
  // The limit leaves room for twice as many senders as are chosen.
  const auto limit = static_cast<double>(aLimit.m_perSecond);
  const double most = std::max((limit - aLimit.m_rate) / 2.0, 1.0);
  const auto wanted = static_cast<std::size_t>(
    std::clamp(std::ceil(aLimit.m_rate), 1.0, std::floor(most)));
  const std::size_t hosts = std::clamp<std::size_t>(aHosts, 1, wanted);
  const auto count = static_cast<double>(hosts);
  const double perWindow = std::max(std::floor(limit / (2.0 * count)), 1.0);
  const Seconds spacing(
    std::max(count / aLimit.m_rate, kSpacingMargin / perWindow));
  return { hosts,
           std::chrono::duration_cast<std::chrono::nanoseconds>(spacing) };
}

ColdThinning
ThinForColdLimit(ColdLimit aLimit, std::size_t aHosts) noexcept
{
  const auto hosts = static_cast<double>(std::max<std::size_t>(aHosts, 1));
  const double share =
    aLimit.m_rate * (Seconds(kColdPeriod) / Seconds(1)) / hosts;
  ColdThinning thinning;
  thinning.m_quota = static_cast<std::size_t>(std::max(std::floor(share), 1.0));
  const auto quota = static_cast<double>(thinning.m_quota);
  const double trials = std::ceil(hosts * kPeriodsPerWindow * kHostsMargin);
  const std::size_t most = aLimit.m_perSecond / thinning.m_quota;
  double high = std::min(share / quota, 1.0);
  if (ExcessProbability(trials, high, most) <= kMaxExcessProbability) {
    thinning.m_probability = high;
    return thinning;
  }
  double low = 0.0;
  for (int i = 0; i < kSearchSteps; ++i) {
    const double middle = (low + high) / 2.0;
    const bool fits =
      ExcessProbability(trials, middle, most) <= kMaxExcessProbability;
    (fits ? low : high) = middle;
  }
  thinning.m_probability = low;
  return thinning;
}

ColdStart::ColdStart(std::string_view aEndpoint)
  : m_endpoint(StableHash(aEndpoint))
{
}

void
ColdStart::Update(TimePoint aNow,
                  TimePoint aWarmAt,
                  std::chrono::nanoseconds aRamp)
{
  const bool wasCold = IsCold(aNow);
  if (aWarmAt > aNow && !wasCold) {
    m_quietUntil = m_isKnown ? aNow + kQuietTime : aNow;
    m_nextAt.reset();
  }
  if (aWarmAt > aNow) {
    m_ramp = aRamp;
    m_credit.reset();
  }
  // An endpoint that was cold before this host knew it needs no ramp here.
  m_warmAt = wasCold || aWarmAt > aNow ? aWarmAt : m_warmAt;
  m_isKnown = true;
}

std::int64_t
ColdStart::Period(TimePoint aNow, const KnownHosts& aHosts) const noexcept
{
  const std::chrono::nanoseconds period = kColdPeriod;
  const auto phase =
    static_cast<std::int64_t>(MixHashes(m_endpoint, aHosts.Self()) %
                              static_cast<std::uint64_t>(period.count()));
  const std::chrono::nanoseconds sinceBoot = aNow.time_since_epoch();
  return (sinceBoot.count() + phase) / period.count();
}

double
ColdStart::RampShare(TimePoint aNow) const noexcept
{
  return m_ramp.count() <= 0
           ? 1.0
           : std::clamp(Seconds(aNow - m_warmAt) / Seconds(m_ramp), 0.0, 1.0);
}

std::size_t
ColdStart::Rank(const KnownHosts& aHosts) const noexcept
{
  if (m_rankedHosts != aHosts.Named()) {
    m_rank = aHosts.RankFor(m_endpoint);
    m_rankedHosts = aHosts.Named();
  }
  return m_rank;
}

const ColdThinning&
ColdStart::Thinning(ColdLimit aLimit, std::size_t aHosts) const
{
  if (m_thinnedLimit != aLimit || m_thinnedHosts != aHosts) {
    m_thinning = ThinForColdLimit(aLimit, aHosts);
    m_thinnedLimit = aLimit;
    m_thinnedHosts = aHosts;
  }
  return m_thinning;
}

/** This host's share of the rate since its last request accumulates up to one
    request. It begins with a random part, since the ramp begins at the same
   time for all hosts. */
double
ColdStart::RampCredit(TimePoint aNow,
                      ColdLimit aLimit,
                      const KnownHosts& aHosts) const noexcept
{
  const TimePoint since = m_credit ? m_creditAt : m_warmAt;
  const double before =
    m_credit.value_or(UnitOf(MixHashes(m_endpoint, aHosts.Self())));
  const double share = aLimit.m_rate / static_cast<double>(aHosts.Count());
  const double growth = std::pow(kRampGrowth, RampShare(aNow));
  // The integral of the rate, which grows exponentially over the ramp.
  const double added = share * Seconds(m_ramp).count() *
                       (growth - std::pow(kRampGrowth, RampShare(since))) /
                       std::log(kRampGrowth);
  return std::min(before + added, std::max(1.0, share * growth));
}

bool
ColdStart::MaySend(TimePoint aNow,
                   ColdLimit aLimit,
                   const KnownHosts& aHosts,
                   bool aHasKey) const
{
  if (!IsLimited(aNow) || aLimit.m_rate <= 0.0) {
    return true;
  }
  if (aHosts.Count() == 0) {
    return !IsCold(aNow);
  }
  if (!IsCold(aNow)) {
    return RampCredit(aNow, aLimit, aHosts) >= 1.0;
  }
  if (aNow < m_quietUntil) {
    return false;
  }
  if (aHasKey) {
    const auto& thinning = Thinning(aLimit, aHosts.Count());
    const auto period = Period(aNow, aHosts);
    const auto drawn = UnitOf(MixHashes(MixHashes(m_endpoint, aHosts.Self()),
                                        static_cast<std::uint64_t>(period)));
    return drawn < thinning.m_probability &&
           (period != m_sentPeriod || m_sentInPeriod < thinning.m_quota);
  }
  const auto senders = DivideColdLimit(aLimit, aHosts.Count());
  if (Rank(aHosts) >= senders.m_hosts) {
    return false;
  }
  const auto phase =
    UnitOf(MixHashes(aHosts.Self(), m_endpoint)) * Seconds(senders.m_spacing);
  const TimePoint first =
    m_quietUntil + std::chrono::duration_cast<std::chrono::nanoseconds>(phase);
  return aNow >= m_nextAt.value_or(first);
}

void
ColdStart::OnSent(TimePoint aNow,
                  ColdLimit aLimit,
                  const KnownHosts& aHosts,
                  bool aHasKey)
{
  if (!IsLimited(aNow) || aLimit.m_rate <= 0.0 || aHosts.Count() == 0) {
    return;
  }
  if (!IsCold(aNow)) {
    m_credit = RampCredit(aNow, aLimit, aHosts) - 1.0;
    m_creditAt = aNow;
  } else if (aHasKey) {
    const auto period = Period(aNow, aHosts);
    m_sentInPeriod = period == m_sentPeriod ? m_sentInPeriod + 1 : 1;
    m_sentPeriod = period;
  } else {
    m_nextAt = aNow + DivideColdLimit(aLimit, aHosts.Count()).m_spacing;
  }
}

double
ColdStart::Capacity(TimePoint aNow,
                    double aTolerated,
                    double aFull) const noexcept
{
  if (aTolerated <= 0.0 || aTolerated >= aFull || !IsLimited(aNow)) {
    return aFull;
  }
  return IsCold(aNow) ? aTolerated
                      : aTolerated + (aFull - aTolerated) * RampShare(aNow);
}

} // namespace sapphirehook
