#ifndef SAPPHIREHOOK_OWNERSHIP_AUTHORITY_HPP
#define SAPPHIREHOOK_OWNERSHIP_AUTHORITY_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/ownership/state.hpp"

#include <algorithm>
#include <concepts>

namespace sapphirehook {

/** The safety rules of dispatcher authority. Tests take one out at a time to
    show that the exhaustive check then finds two dispatchers. */
struct AuthorityRules
{
  /** A dispatcher that changes its standbys needs the old and the new ones. */
  static constexpr bool kUnionOfStandbys = true;
  /** A standby that wants to claim gives no further promise. */
  static constexpr bool kWithhold = true;
  /** A standby claims only when its promises have run out. */
  static constexpr bool kWaitBeforeClaim = true;
  /** A daemon that has read a newer term promises nothing to an older one. */
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
    Rules::kWithhold
    } -> std::convertible_to<bool>;
  {
    Rules::kWaitBeforeClaim
    } -> std::convertible_to<bool>;
  {
    Rules::kRefuseOlderTerms
    } -> std::convertible_to<bool>;
};

/** Durations of the authority lease. */
struct AuthorityConfig
{
  /** How long one promise lasts for the daemon that asked for it. */
  std::chrono::nanoseconds m_lease{};
  /** Largest difference between the rates of two hosts' clocks. */
  unsigned m_driftPpm = 0;
};

/** A dispatcher's request for a promise. */
struct PromiseRequest
{
  GroupId m_group;
  Term m_term = 0;
  Version m_version = 0;
  /** The asked daemon is to become a standby by a change under way. */
  bool m_proposed = false;
  MSGPACK_DEFINE_ARRAY(m_group, m_term, m_version, m_proposed)
};

/** One daemon's part in the authority over one group: the promises that it
    has given as a standby and holds as a dispatcher. Does no input or output
    and reads no clock. */
template<AuthorityRuleSet Rules>
class BasicGroupAuthority
{
public:
  BasicGroupAuthority(HostId aSelf, AuthorityConfig aConfig)
    : m_self(std::move(aSelf))
    , m_config(aConfig)
  {
  }

  /** Takes note of the group as the log has it now. */
  void OnView(const Group& aView)
  {
    if (aView.m_version <= m_view.m_version) {
      return;
    }
    if (aView.m_term != m_view.m_term) {
      m_held.clear();
      m_resigned = false;
    }
    m_view = aView;
    m_proposed.clear();
    m_changing = false;
    m_withheld = false;
    m_claimed = false;
  }

  /** Returns the group as last read. */
  [[nodiscard]] const Group& View() const noexcept { return m_view; }

  [[nodiscard]] bool IsDispatcher() const
  {
    return m_view.m_version > 0 && m_view.m_dispatcher == m_self;
  }

  [[nodiscard]] bool IsStandby() const
  {
    return Contains(m_view.m_standbys, m_self);
  }

  /** Returns the daemons whose promises the dispatcher needs. */
  [[nodiscard]] std::vector<HostId> Required() const
  {
    auto required = m_view.m_standbys;
    for (const auto& host : m_proposed) {
      if (!Contains(required, host)) {
        required.push_back(host);
      }
    }
    return required;
  }

  /** Returns the request to send to a standby. */
  [[nodiscard]] PromiseRequest RequestFor(const GroupId& aGroup,
                                          const HostId& aStandby) const
  {
    return { aGroup,
             m_view.m_term,
             m_view.m_version,
             !Contains(m_view.m_standbys, aStandby) };
  }

  /** Records a promise for a term that was asked for at aAskedAt. */
  void OnPromise(const HostId& aFrom, Term aTerm, TimePoint aAskedAt)
  {
    if (aTerm != m_view.m_term || !IsDispatcher()) {
      return;
    }
    auto& until = m_held[aFrom];
    until = std::max(until, aAskedAt + m_config.m_lease);
  }

  /** Returns when a daemon's promise runs out; the epoch when it gave none. */
  [[nodiscard]] TimePoint PromisedBy(const HostId& aHost) const
  {
    const auto found = m_held.find(aHost);
    return found == m_held.end() ? TimePoint{} : found->second;
  }

  /** Returns the moment up to which this daemon may act as dispatcher; the
      epoch when it may not act at all. */
  [[nodiscard]] TimePoint AuthorityUntil() const
  {
    if (!IsDispatcher() || m_resigned) {
      return TimePoint{};
    }
    TimePoint until = TimePoint::max();
    for (const auto& host : m_view.m_standbys) {
      until = std::min(until, PromisedBy(host));
    }
    if (Rules::kUnionOfStandbys) {
      for (const auto& host : m_proposed) {
        until = std::min(until, PromisedBy(host));
      }
    }
    return until;
  }

  [[nodiscard]] bool HasAuthority(TimePoint aNow) const
  {
    return aNow < AuthorityUntil();
  }

  /** Starts a change of the standbys; the caller appends the record and keeps
      appending it until it reads the outcome. Returns false when a change is
      under way already or this daemon is not the dispatcher. */
  [[nodiscard]] bool ProposeStandbys(std::vector<HostId> aStandbys)
  {
    if (!IsDispatcher() || m_resigned || m_changing) {
      return false;
    }
    m_proposed = std::move(aStandbys);
    m_changing = true;
    return true;
  }

  /** Gives the authority up for the rest of the term, before a handover. */
  void Resign() noexcept { m_resigned = IsDispatcher(); }

  [[nodiscard]] bool HasResigned() const noexcept { return m_resigned; }

  /** Answers a request for a promise. Returns whether it is given. */
  [[nodiscard]] bool Promise(TimePoint aNow,
                             const HostId& aAsker,
                             const PromiseRequest& aRequest)
  {
    const bool listed = m_view.m_dispatcher == aAsker &&
                        m_view.m_term == aRequest.m_term && IsStandby();
    const bool current =
      !Rules::kRefuseOlderTerms || m_view.m_version <= aRequest.m_version;
    const bool asked = aRequest.m_proposed && current;
    const bool refuses = Rules::kWithhold && m_withheld;
    if ((!listed && !asked) || refuses) {
      return false;
    }
    const auto lapse = aNow + WithDrift(m_config.m_lease, m_config.m_driftPpm);
    m_givenUntil = std::max(m_givenUntil, lapse);
    return true;
  }

  /** Stops giving promises, as the first step of a claim. */
  void Withhold() noexcept { m_withheld = IsStandby(); }

  [[nodiscard]] bool IsWithholding() const noexcept { return m_withheld; }

  /** Gives promises again. Has no effect once a claim has been handed over,
      since the claim may still land. */
  void CancelWithhold() noexcept { m_withheld = m_withheld && m_claimed; }

  /** Returns whether this standby may append a claim. */
  [[nodiscard]] bool MayClaim(TimePoint aNow) const
  {
    const bool waited = !Rules::kWaitBeforeClaim || aNow >= m_givenUntil;
    return IsStandby() && m_withheld && waited;
  }

  /** Notes that a claim has been handed over to the log. */
  void MarkClaimed() noexcept { m_claimed = true; }

  /** Returns the moment up to which a promise given may still count. */
  [[nodiscard]] TimePoint GivenUntil() const noexcept { return m_givenUntil; }

private:
  [[nodiscard]] static bool Contains(const std::vector<HostId>& aHosts,
                                     const HostId& aHost)
  {
    return std::find(aHosts.begin(), aHosts.end(), aHost) != aHosts.end();
  }

  HostId m_self;
  AuthorityConfig m_config;
  Group m_view;
  std::map<HostId, TimePoint> m_held;
  std::vector<HostId> m_proposed;
  bool m_changing = false;
  bool m_resigned = false;
  bool m_withheld = false;
  bool m_claimed = false;
  TimePoint m_givenUntil{};
};

/** Authority with every rule in place. */
extern template class BasicGroupAuthority<AuthorityRules>;

class GroupAuthority : public BasicGroupAuthority<AuthorityRules>
{
public:
  using BasicGroupAuthority::BasicGroupAuthority;
};

} // namespace sapphirehook

#endif
