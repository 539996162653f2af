#ifndef SAPPHIREHOOK_OWNERSHIP_AUTHORITY_HPP
#define SAPPHIREHOOK_OWNERSHIP_AUTHORITY_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/ownership/state.hpp"

#include <algorithm>
#include <concepts>

namespace sapphirehook {

/** The safety rules of dispatcher authority. Tests disable one rule at a time
    and verify that the exhaustive check then finds two dispatchers. */
struct AuthorityRules
{
  /** A dispatcher that changes its standbys needs the promises of both the
      current and the proposed ones. */
  static constexpr bool kUnionOfStandbys = true;
  /** A standby suspends its promises before it claims a group. */
  static constexpr bool kSuspendPromises = true;
  /** A standby claims a group only after its own promises have expired. */
  static constexpr bool kWaitBeforeClaim = true;
  /** A daemon that has read a newer version of a group rejects promise
      requests for an older one. */
  static constexpr bool kRefuseOlderTerms = true;
};

/** Any set of authority rules. */
template<typename Rules>
concept AuthorityRuleSet = requires
{
  {
    Rules::kUnionOfStandbys
    } -> std::convertible_to<bool>;
  {
    Rules::kSuspendPromises
    } -> std::convertible_to<bool>;
  {
    Rules::kWaitBeforeClaim
    } -> std::convertible_to<bool>;
  {
    Rules::kRefuseOlderTerms
    } -> std::convertible_to<bool>;
};

/** Timing parameters of the authority lease. */
struct AuthorityConfig
{
  /** Duration of a promise as the requesting dispatcher counts it. */
  std::chrono::nanoseconds m_lease{};
  /** Upper bound on the rate difference between the clocks of two hosts, in
      parts per million. */
  unsigned m_driftPpm = 0;
};

/** A promise request that a dispatcher sends to a standby. */
struct PromiseRequest
{
  GroupId m_group;
  Term m_term = 0;
  Version m_version = 0;
  /** The receiver is not yet a standby; a change in flight adds it. */
  bool m_proposed = false;
  MSGPACK_DEFINE_ARRAY(m_group, m_term, m_version, m_proposed)
};

/** The authority state of one daemon for one group: the promises given as a
    standby and the promises received as a dispatcher. Performs no I/O and reads
    no clock. */
template<AuthorityRuleSet Rules>
class BasicGroupAuthority
{
public:
  BasicGroupAuthority(HostId aSelf, AuthorityConfig aConfig)
    : m_self(std::move(aSelf))
    , m_config(aConfig)
  {
  }

  /** Updates the view of the group from the folded log. Older versions are
      ignored. */
  void OnView(const Group& aView)
  {
    if (aView.m_version <= m_view.m_version) {
      return;
    }
    if (aView.m_term != m_view.m_term) {
      m_promises.clear();
      m_resigned = false;
    }
    m_view = aView;
    m_proposed.clear();
    m_changingStandbys = false;
    m_promisesSuspended = false;
    m_claimed = false;
  }

  /** Returns the newest version of the group that was read. */
  [[nodiscard]] const Group& View() const noexcept { return m_view; }

  [[nodiscard]] bool IsDispatcher() const
  {
    return m_view.m_version > 0 && m_view.m_dispatcher == m_self;
  }

  [[nodiscard]] bool IsStandby() const
  {
    return Contains(m_view.m_standbys, m_self);
  }

  /** Returns the daemons whose promises the dispatcher needs: the current
      standbys and those of a change in flight. */
  [[nodiscard]] std::vector<HostId> RequiredStandbys() const
  {
    auto required = m_view.m_standbys;
    for (const auto& host : m_proposed) {
      if (!Contains(required, host)) {
        required.push_back(host);
      }
    }
    return required;
  }

  /** Builds the promise request for a standby. */
  [[nodiscard]] PromiseRequest RequestFor(const GroupId& aGroup,
                                          const HostId& aStandby) const
  {
    return { aGroup,
             m_view.m_term,
             m_view.m_version,
             !Contains(m_view.m_standbys, aStandby) };
  }

  /** Records a promise for a term. aAskedAt is when the request was sent, from
      which the promise counts. */
  void OnPromise(const HostId& aFrom, Term aTerm, TimePoint aAskedAt)
  {
    if (aTerm != m_view.m_term || !IsDispatcher()) {
      return;
    }
    auto& until = m_promises[aFrom];
    until = std::max(until, aAskedAt + m_config.m_lease);
  }

  /** Returns when a daemon's promise expires, or the epoch if there is none. */
  [[nodiscard]] TimePoint PromiseExpiry(const HostId& aHost) const
  {
    const auto found = m_promises.find(aHost);
    return found == m_promises.end() ? TimePoint{} : found->second;
  }

  /** Returns when this daemon's authority as dispatcher expires, or the epoch
      if it has none. */
  [[nodiscard]] TimePoint AuthorityUntil() const
  {
    if (!IsDispatcher() || m_resigned) {
      return TimePoint{};
    }
    TimePoint until = TimePoint::max();
    for (const auto& host : m_view.m_standbys) {
      until = std::min(until, PromiseExpiry(host));
    }
    if (Rules::kUnionOfStandbys) {
      for (const auto& host : m_proposed) {
        until = std::min(until, PromiseExpiry(host));
      }
    }
    return until;
  }

  [[nodiscard]] bool HasAuthority(TimePoint aNow) const
  {
    return aNow < AuthorityUntil();
  }

  /** Starts a change of the standbys. The caller appends the record and retries
      until it reads the outcome. Returns false if a change is already in
      flight, or if this daemon is not the dispatcher or has resigned. */
  [[nodiscard]] bool ProposeStandbys(std::vector<HostId> aStandbys)
  {
    if (!IsDispatcher() || m_resigned || m_changingStandbys) {
      return false;
    }
    m_proposed = std::move(aStandbys);
    m_changingStandbys = true;
    return true;
  }

  /** Releases the authority for the rest of the term, before a handover. */
  void Resign() noexcept { m_resigned = IsDispatcher(); }

  [[nodiscard]] bool HasResigned() const noexcept { return m_resigned; }

  /** Handles a promise request. Returns whether the promise is given. */
  [[nodiscard]] bool Promise(TimePoint aNow,
                             const HostId& aRequester,
                             const PromiseRequest& aRequest)
  {
    const bool listed = m_view.m_dispatcher == aRequester &&
                        m_view.m_term == aRequest.m_term && IsStandby();
    const bool current =
      !Rules::kRefuseOlderTerms || m_view.m_version <= aRequest.m_version;
    const bool asked = aRequest.m_proposed && current;
    const bool refuses = Rules::kSuspendPromises && m_promisesSuspended;
    if ((!listed && !asked) || refuses) {
      return false;
    }
    const auto expiry = aNow + WithDrift(m_config.m_lease, m_config.m_driftPpm);
    m_promisedUntil = std::max(m_promisedUntil, expiry);
    return true;
  }

  /** Suspends promises, as the first step of a claim. */
  void SuspendPromises() noexcept { m_promisesSuspended = IsStandby(); }

  [[nodiscard]] bool HasSuspendedPromises() const noexcept
  {
    return m_promisesSuspended;
  }

  /** Resumes promises. Has no effect after MarkClaimed(), since the claim may
      still be appended to the log. */
  void ResumePromises() noexcept
  {
    m_promisesSuspended = m_promisesSuspended && m_claimed;
  }

  /** Returns whether this standby may append a claim. */
  [[nodiscard]] bool MayClaim(TimePoint aNow) const
  {
    const bool waited = !Rules::kWaitBeforeClaim || aNow >= m_promisedUntil;
    return IsStandby() && m_promisesSuspended && waited;
  }

  /** Records that a claim has been submitted to the log. */
  void MarkClaimed() noexcept { m_claimed = true; }

  /** Returns when the last promise given as a standby expires, clock drift
      included. */
  [[nodiscard]] TimePoint PromisedUntil() const noexcept
  {
    return m_promisedUntil;
  }

private:
  [[nodiscard]] static bool Contains(const std::vector<HostId>& aHosts,
                                     const HostId& aHost)
  {
    return std::find(aHosts.begin(), aHosts.end(), aHost) != aHosts.end();
  }

  HostId m_self;
  AuthorityConfig m_config;
  Group m_view;
  std::map<HostId, TimePoint> m_promises;
  std::vector<HostId> m_proposed;
  bool m_changingStandbys = false;
  bool m_resigned = false;
  bool m_promisesSuspended = false;
  bool m_claimed = false;
  TimePoint m_promisedUntil{};
};

/** Authority with every rule enabled. */
extern template class BasicGroupAuthority<AuthorityRules>;

class GroupAuthority : public BasicGroupAuthority<AuthorityRules>
{
public:
  using BasicGroupAuthority::BasicGroupAuthority;
};

} // namespace sapphirehook

#endif
