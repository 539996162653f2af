#include "sapphirehook/ownership/group_manager.hpp"

#include "sapphirehook/core/hash.hpp"

#include <algorithm>

namespace sapphirehook {

namespace {

constexpr std::size_t kStandbys = 2;
constexpr std::size_t kPingedCandidates = 4;
constexpr Millis kScanEvery{ 200 };

/** Number of heartbeat rounds per heartbeat to an arbitrary member. */
constexpr std::uint64_t kGossipRounds = 4;

constexpr Millis kHandoverEvery{ 100 };
constexpr Millis kRebalanceEvery{ 1000 };
constexpr Millis kSecondClaimDelay{ 40 };
constexpr Millis kContactFresh{ 1000 };

std::uint64_t
ItemOf(const GroupId& aGroup)
{
  return StableHash(ToString(aGroup));
}

bool
Contains(const std::vector<HostId>& aHosts, const HostId& aHost)
{
  return std::find(aHosts.begin(), aHosts.end(), aHost) != aHosts.end();
}

/** Returns whether a predicate is true for every daemon of a group. */
template<typename Predicate>
bool
AllOfGroup(const Group& aGroup, Predicate aPredicate)
{
  return aPredicate(aGroup.m_dispatcher) &&
         std::all_of(
           aGroup.m_standbys.begin(), aGroup.m_standbys.end(), aPredicate);
}

} // namespace

GroupManager::GroupManager(NodeConfig aConfig,
                           std::shared_ptr<AppendQueue> aAppends)
  : m_config(std::move(aConfig))
  , m_appends(std::move(aAppends))
{
}

bool
GroupManager::IsParticipant(const Group& aGroup) const
{
  return aGroup.m_dispatcher == m_config.m_self ||
         Contains(aGroup.m_standbys, m_config.m_self);
}

GroupManager::Role&
GroupManager::RoleFor(TimePoint aNow,
                      const ClusterState& aState,
                      const GroupId& aGroup)
{
  const auto found = m_roles.find(aGroup);
  if (found != m_roles.end()) {
    return found->second;
  }
  const AuthorityConfig config{ m_config.m_timing.m_authorityLease,
                                m_config.m_timing.m_driftPpm };
  Role role{ GroupAuthority(m_config.m_self, config), aNow, aNow, aNow, false };
  const auto group = aState.m_groups.find(aGroup);
  if (group != aState.m_groups.end()) {
    role.m_authority.OnView(group->second);
  }
  return m_roles.emplace(aGroup, std::move(role)).first->second;
}

void
GroupManager::OnState(TimePoint aNow,
                      const ClusterState& aState,
                      Actions& aActions)
{
  for (const auto& [id, group] : aState.m_groups) {
    const auto found = m_roles.find(id);
    if (found == m_roles.end()) {
      if (IsParticipant(group)) {
        RoleFor(aNow, aState, id);
        m_nextHeartbeat = aNow;
      }
      continue;
    }
    auto& role = found->second;
    if (role.m_authority.View().m_version == group.m_version) {
      continue;
    }
    const bool newTerm = role.m_authority.View().m_term != group.m_term;
    role.m_authority.OnView(group);
    role.m_viewSince = aNow;
    role.m_lastHeartbeatAt = aNow;
    if (role.m_authority.IsDispatcher()) {
      m_nextHeartbeat = aNow;
    }
    if (newTerm) {
      role.m_termSince = aNow;
      aActions.emplace_back(EventAction{ "term",
                                         ToString(id),
                                         "",
                                         ToString(group.m_dispatcher) +
                                           " term " +
                                           std::to_string(group.m_term) });
    }
  }
  m_contacts.Retain(aState);
}

std::optional<HeartbeatAnswer>
GroupManager::OnHeartbeat(TimePoint aNow,
                          const ClusterState& aState,
                          const Heartbeat& aHeartbeat)
{
  if (aHeartbeat.m_to != m_config.m_self) {
    return std::nullopt;
  }
  m_contacts.OnContact(aNow, aHeartbeat.m_from);
  HeartbeatAnswer answer{
    m_config.m_self, aHeartbeat.m_sentAtNs, aState.m_nextOffset, m_stopping, {}
  };
  const bool sameLease =
    Millis(aHeartbeat.m_leaseMs) <= m_config.m_timing.m_authorityLease;
  std::uint32_t index = 0;
  for (const auto& request : aHeartbeat.m_requests) {
    auto& role = RoleFor(aNow, aState, request.m_group);
    auto& authority = role.m_authority;
    if (authority.View().m_dispatcher == aHeartbeat.m_from) {
      role.m_lastHeartbeatAt = aNow;
      authority.ResumePromises();
    }
    const bool given =
      sameLease && authority.Promise(aNow, aHeartbeat.m_from, request);
    if (!given) {
      answer.m_refused.push_back(index);
    }
    ++index;
  }
  return answer;
}

void
GroupManager::OnHeartbeatAnswer(TimePoint aNow, const HeartbeatAnswer& aAnswer)
{
  m_contacts.OnContact(aNow, aAnswer.m_from);
  if (aAnswer.m_leaving) {
    m_contacts.OnLeaving(aAnswer.m_from);
  }
  const auto sent = m_sentHeartbeats.find(aAnswer.m_sentAtNs);
  if (sent == m_sentHeartbeats.end() || sent->second.m_to != aAnswer.m_from) {
    return;
  }
  const TimePoint askedAt{ std::chrono::nanoseconds(aAnswer.m_sentAtNs) };
  const auto& refused = aAnswer.m_refused;
  std::uint32_t index = 0;
  for (const auto& request : sent->second.m_requests) {
    const bool given =
      std::find(refused.begin(), refused.end(), index) == refused.end();
    const auto role = m_roles.find(request.m_group);
    if (given && role != m_roles.end()) {
      role->second.m_authority.OnPromise(
        aAnswer.m_from, request.m_term, askedAt);
    }
    ++index;
  }
  m_sentHeartbeats.erase(sent);
}

void
GroupManager::OnHostList(std::vector<ListedHost> aHosts)
{
  m_listed = std::move(aHosts);
  m_listChanged = true;
}

bool
GroupManager::IsUnresponsive(TimePoint aNow,
                             const Role& aRole,
                             const HostId& aStandby) const
{
  const auto& timing = m_config.m_timing;
  const auto promised = aRole.m_authority.PromiseExpiry(aStandby);
  const auto asked = promised == TimePoint{}
                       ? aRole.m_viewSince
                       : promised - timing.m_authorityLease;
  const auto since = std::max(asked, aRole.m_viewSince);
  return aNow - since > timing.m_suspectAfter || m_contacts.IsLeaving(aStandby);
}

bool
GroupManager::IsReplaced(const ClusterState& aState, const HostId& aHost) const
{
  const bool listedGone =
    std::any_of(m_listed.begin(), m_listed.end(), [&](const auto& aListed) {
      return aListed.m_host == aHost.m_host && aListed.m_gone;
    });
  return listedGone || !IsMember(aState, aHost);
}

bool
GroupManager::IsGone(TimePoint aNow,
                     const ClusterState& aState,
                     const HostId& aHost) const
{
  const bool unresponsive =
    !m_contacts.IsFresh(aNow, aHost, m_config.m_timing.m_guardGrace);
  return unresponsive && IsReplaced(aState, aHost);
}

std::vector<HostId>
GroupManager::FreshCandidates(TimePoint aNow,
                              const ClusterState& aState,
                              const GroupId& aGroup)
{
  std::vector<HostId> fresh;
  std::size_t pinged = 0;
  for (const auto& host :
       RankMembers(aState, aGroup.m_region, ItemOf(aGroup))) {
    if (host == m_config.m_self) {
      continue;
    }
    if (m_contacts.IsFresh(aNow, host, kContactFresh)) {
      fresh.push_back(host);
    }
    if (pinged < kPingedCandidates && !m_contacts.IsLeaving(host)) {
      m_pingTargets.insert(host);
      ++pinged;
    }
  }
  return fresh;
}

void
GroupManager::SendHeartbeat(TimePoint aNow,
                            const ClusterState& aState,
                            const HostId& aTo,
                            std::vector<PromiseRequest> aRequests,
                            Actions& aActions)
{
  const auto member = aState.m_members.find(aTo.m_host);
  if (member == aState.m_members.end() || aTo == m_config.m_self) {
    return;
  }
  auto sentAt = aNow.time_since_epoch().count();
  while (m_sentHeartbeats.contains(sentAt)) {
    --sentAt;
  }
  m_sentHeartbeats[sentAt] = { aTo, aRequests };
  aActions.emplace_back(HeartbeatAction{
    member->second.m_peerAddress,
    { m_config.m_self,
      aTo,
      sentAt,
      static_cast<std::uint32_t>(m_config.m_timing.m_authorityLease.count()),
      aState.m_nextOffset,
      std::move(aRequests) } });
}

void
GroupManager::SendHeartbeats(TimePoint aNow,
                             const ClusterState& aState,
                             Actions& aActions)
{
  const auto oldest =
    (aNow - m_config.m_timing.m_authorityLease).time_since_epoch().count();
  m_sentHeartbeats.erase(m_sentHeartbeats.begin(),
                         m_sentHeartbeats.lower_bound(oldest));
  std::map<HostId, std::vector<PromiseRequest>> requests;
  for (const auto& [id, role] : m_roles) {
    const auto& authority = role.m_authority;
    if (!authority.IsDispatcher() || authority.HasResigned()) {
      continue;
    }
    for (const auto& standby : authority.RequiredStandbys()) {
      requests[standby].push_back(authority.RequestFor(id, standby));
    }
  }
  for (const auto& host : m_pingTargets) {
    requests[host];
  }
  m_pingTargets.clear();
  if (!aState.m_members.empty() && m_round % kGossipRounds == 0) {
    // Heartbeats to arbitrary members spread log offsets across groups.
    auto any = aState.m_members.begin();
    const auto pick = MixHashes(StableHash(m_config.m_self.m_host), m_round);
    std::advance(any, pick % aState.m_members.size());
    requests[{ any->first, any->second.m_incarnation }];
  }
  ++m_round;
  for (auto& [host, wanted] : requests) {
    SendHeartbeat(aNow, aState, host, std::move(wanted), aActions);
  }
}

void
GroupManager::MaintainStandbys(TimePoint aNow,
                               const ClusterState& aState,
                               const GroupId& aGroup,
                               Role& aRole,
                               Actions& aActions)
{
  auto& authority = aRole.m_authority;
  const auto purpose = "standbys " + ToString(aGroup);
  if (authority.HasResigned() || m_appends->IsInFlight(purpose)) {
    return;
  }
  const auto& present = authority.View().m_standbys;
  std::vector<HostId> kept;
  for (const auto& host : present) {
    if (!IsUnresponsive(aNow, aRole, host)) {
      kept.push_back(host);
    }
  }
  if (kept.size() == kStandbys) {
    return;
  }
  auto candidates = kept;
  for (auto& host : FreshCandidates(aNow, aState, aGroup)) {
    const bool unresponsive = Contains(present, host) && !Contains(kept, host);
    if (!Contains(candidates, host) && !unresponsive) {
      candidates.push_back(std::move(host));
    }
  }
  auto chosen = kept;
  for (auto& host : ChooseStandbys(aState, m_config.m_self, candidates)) {
    if (chosen.size() < kStandbys && !Contains(chosen, host)) {
      chosen.push_back(std::move(host));
    }
  }
  const auto pingRounds = 2 * m_config.m_timing.m_heartbeatEvery;
  const bool fewer = chosen.size() < present.size();
  const bool waited =
    aNow - aRole.m_viewSince > m_config.m_timing.m_suspectAfter + pingRounds;
  const bool improves = chosen != present && (!fewer || waited);
  if (!improves || !authority.ProposeStandbys(chosen)) {
    return;
  }
  m_appends->AppendOnce(
    purpose,
    StandbysRecord{
      aGroup, authority.View().m_version, m_config.m_self, chosen },
    aActions);
  m_nextHeartbeat = aNow;
}

void
GroupManager::MonitorDispatcher(TimePoint aNow,
                                const ClusterState& aState,
                                bool aLogReadable,
                                const GroupId& aGroup,
                                Role& aRole,
                                Actions& aActions)
{
  auto& authority = aRole.m_authority;
  const bool unresponsive =
    aNow - aRole.m_lastHeartbeatAt > m_config.m_timing.m_suspectAfter;
  if (m_stopping || !unresponsive) {
    return;
  }
  const auto candidates = FreshCandidates(aNow, aState, aGroup);
  if (!authority.HasSuspendedPromises()) {
    authority.SuspendPromises();
    aActions.emplace_back(
      EventAction{ "promise-withheld",
                   ToString(aGroup),
                   "",
                   ToString(authority.View().m_dispatcher) });
  }
  const auto& standbys = authority.View().m_standbys;
  const bool second = !standbys.empty() && standbys.front() != m_config.m_self;
  const auto start = second ? aNow - kSecondClaimDelay : aNow;
  if (!aLogReadable || !authority.MayClaim(start)) {
    return;
  }
  const bool claimed = m_appends->AppendOnce(
    "claim " + ToString(aGroup),
    ClaimRecord{
      aGroup,
      authority.View().m_version,
      m_config.m_self,
      ChooseStandbys(aState, m_config.m_self, candidates),
      static_cast<std::uint32_t>(m_config.m_timing.m_endpointLease.count()) },
    aActions);
  if (claimed) {
    authority.MarkClaimed();
  }
}

std::optional<HostId>
GroupManager::Successor(TimePoint aNow,
                        const ClusterState& aState,
                        const GroupId& aGroup,
                        const Role& aRole)
{
  const auto& standbys = aRole.m_authority.View().m_standbys;
  const auto fits = [&](const HostId& aHost) {
    return Contains(standbys, aHost) && !IsUnresponsive(aNow, aRole, aHost) &&
           IsMember(aState, aHost);
  };
  if (m_stopping) {
    const auto found = std::find_if(standbys.begin(), standbys.end(), fits);
    return found == standbys.end() ? std::nullopt : std::optional(*found);
  }
  const auto ranked = RankMembers(aState, aGroup.m_region, ItemOf(aGroup));
  const bool settled =
    aNow - aRole.m_viewSince > m_config.m_timing.m_rebalanceAfter;
  if (ranked.empty() || ranked.front() == m_config.m_self || !settled) {
    return std::nullopt;
  }
  if (fits(ranked.front())) {
    return ranked.front();
  }
  return std::nullopt;
}

void
GroupManager::HandOver(TimePoint aNow,
                       const ClusterState& aState,
                       Actions& aActions)
{
  if (aNow < m_nextHandover) {
    return;
  }
  m_nextHandover = aNow + (m_stopping ? kHandoverEvery : kRebalanceEvery);
  for (auto& [id, role] : m_roles) {
    auto& authority = role.m_authority;
    const auto purpose = "handover " + ToString(id);
    if (!authority.HasAuthority(aNow) || m_appends->IsInFlight(purpose)) {
      continue;
    }
    const auto successor = Successor(aNow, aState, id, role);
    if (!successor) {
      continue;
    }
    auto candidates = FreshCandidates(aNow, aState, id);
    if (!m_stopping) {
      candidates.push_back(m_config.m_self);
    }
    authority.Resign();
    m_appends->AppendOnce(
      purpose,
      ClaimRecord{
        id,
        authority.View().m_version,
        *successor,
        ChooseStandbys(aState, *successor, candidates),
        static_cast<std::uint32_t>(m_config.m_timing.m_endpointLease.count()) },
      aActions);
    aActions.emplace_back(
      EventAction{ "handover", ToString(id), "", ToString(*successor) });
    if (!m_stopping) {
      return;
    }
  }
}

Millis
GroupManager::StaggerOf(const ClusterState& aState,
                        const std::string& aRegion,
                        std::uint64_t aItem) const
{
  const auto ranked = RankMembers(aState, aRegion, aItem);
  const auto self = std::find(ranked.begin(), ranked.end(), m_config.m_self);
  const auto rank = self - ranked.begin();
  return m_config.m_timing.m_claimStagger * rank;
}

void
GroupManager::FindLeaderless(const ClusterState& aState)
{
  if (m_leaderlessOffset == aState.m_nextOffset && !m_listChanged) {
    return;
  }
  m_leaderlessOffset = aState.m_nextOffset;
  m_listChanged = false;
  std::map<GroupId, std::optional<TimePoint>> leaderless;
  const auto replaced = [&](const HostId& aHost) {
    return IsReplaced(aState, aHost);
  };
  for (const auto& [name, endpoint] : aState.m_endpoints) {
    const auto id = GroupOf(aState, name, endpoint.m_config);
    if (leaderless.contains(id)) {
      continue;
    }
    const auto found = aState.m_groups.find(id);
    const bool mayBeLeaderless =
      found == aState.m_groups.end() || AllOfGroup(found->second, replaced);
    if (mayBeLeaderless) {
      const auto known = m_leaderless.find(id);
      leaderless[id] =
        known == m_leaderless.end() ? std::nullopt : known->second;
    }
  }
  m_leaderless = std::move(leaderless);
}

void
GroupManager::ClaimIfLeaderless(TimePoint aNow,
                                const ClusterState& aState,
                                const GroupId& aGroup,
                                std::optional<TimePoint>& aUnresponsiveSince,
                                Actions& aActions)
{
  const auto& timing = m_config.m_timing;
  const auto found = aState.m_groups.find(aGroup);
  const bool unclaimed = found == aState.m_groups.end();
  const auto gone = [&](const HostId& aHost) {
    return IsGone(aNow, aState, aHost);
  };
  const bool unresponsive = unclaimed || AllOfGroup(found->second, gone);
  if (!unresponsive) {
    aUnresponsiveSince.reset();
    return;
  }
  aUnresponsiveSince = aUnresponsiveSince.value_or(aNow);
  const auto wait = unclaimed ? timing.m_bootstrapDelay : timing.m_guardGrace;
  const auto stagger = StaggerOf(aState, aGroup.m_region, ItemOf(aGroup));
  const auto candidates = FreshCandidates(aNow, aState, aGroup);
  if (aNow - *aUnresponsiveSince < wait + stagger) {
    return;
  }
  m_appends->AppendOnce(
    "claim " + ToString(aGroup),
    ClaimRecord{ aGroup,
                 unclaimed ? 0 : found->second.m_version,
                 m_config.m_self,
                 ChooseStandbys(aState, m_config.m_self, candidates),
                 static_cast<std::uint32_t>(timing.m_endpointLease.count()) },
    aActions);
}

void
GroupManager::ClaimLeaderless(TimePoint aNow,
                              const ClusterState& aState,
                              Actions& aActions)
{
  FindLeaderless(aState);
  for (auto& [id, unresponsiveSince] : m_leaderless) {
    ClaimIfLeaderless(aNow, aState, id, unresponsiveSince, aActions);
  }
}

void
GroupManager::RemoveLostMembers(TimePoint aNow,
                                const ClusterState& aState,
                                Actions& aActions)
{
  for (const auto& listed : m_listed) {
    const auto member = aState.m_members.find(listed.m_host);
    if (!listed.m_gone || member == aState.m_members.end() ||
        listed.m_host == m_config.m_self.m_host) {
      m_listedGone.erase(listed.m_host);
      continue;
    }
    const HostId host{ listed.m_host, member->second.m_incarnation };
    const auto since =
      m_listedGone.try_emplace(listed.m_host, aNow).first->second;
    const auto wait = m_config.m_timing.m_guardGrace +
                      StaggerOf(aState, "", StableHash(listed.m_host));
    if (IsGone(aNow, aState, host) && aNow - since > wait) {
      m_appends->AppendOnce(
        "leave " + ToString(host), LeaveRecord{ host }, aActions);
    }
  }
}

void
GroupManager::ReportAuthorityChanges(TimePoint aNow, Actions& aActions)
{
  for (auto& [id, role] : m_roles) {
    const bool has = role.m_authority.HasAuthority(aNow);
    if (has != role.m_hadAuthority) {
      role.m_hadAuthority = has;
      ++m_authorityChanges;
      aActions.emplace_back(EventAction{
        has ? "authority-gained" : "authority-lost",
        ToString(id),
        "",
        "term " + std::to_string(role.m_authority.View().m_term) });
    }
  }
}

void
GroupManager::OnTick(TimePoint aNow,
                     const ClusterState& aState,
                     bool aLogReadable,
                     Actions& aActions)
{
  const auto& timing = m_config.m_timing;
  const bool paused =
    m_lastTick != TimePoint{} && aNow - m_lastTick > timing.m_suspectAfter / 2;
  m_lastTick = aNow;
  for (auto& [id, role] : m_roles) {
    if (paused) {
      role.m_lastHeartbeatAt = aNow;
    }
    if (role.m_authority.IsStandby()) {
      MonitorDispatcher(aNow, aState, aLogReadable, id, role, aActions);
    } else if (role.m_authority.IsDispatcher() && aLogReadable) {
      MaintainStandbys(aNow, aState, id, role, aActions);
    }
  }
  std::erase_if(m_roles, [&](const auto& aEntry) {
    const auto& authority = aEntry.second.m_authority;
    return !IsParticipant(authority.View()) && aNow > authority.PromisedUntil();
  });
  if (aLogReadable) {
    HandOver(aNow, aState, aActions);
  }
  if (aNow >= m_nextScan) {
    m_nextScan = aNow + kScanEvery;
    if (aLogReadable && !m_stopping && IsMember(aState, m_config.m_self)) {
      ClaimLeaderless(aNow, aState, aActions);
      RemoveLostMembers(aNow, aState, aActions);
    }
  }
  if (aNow >= m_nextHeartbeat) {
    m_nextHeartbeat = aNow + timing.m_heartbeatEvery;
    SendHeartbeats(aNow, aState, aActions);
  }
  ReportAuthorityChanges(aNow, aActions);
}

bool
GroupManager::HasNoRole() const
{
  return std::none_of(m_roles.begin(), m_roles.end(), [&](const auto& aEntry) {
    return IsParticipant(aEntry.second.m_authority.View());
  });
}

TimePoint
GroupManager::AuthorityUntil(const GroupId& aGroup) const
{
  const auto found = m_roles.find(aGroup);
  return found == m_roles.end() ? TimePoint{}
                                : found->second.m_authority.AuthorityUntil();
}

TimePoint
GroupManager::LedSince(const GroupId& aGroup) const
{
  const auto found = m_roles.find(aGroup);
  const bool leads =
    found != m_roles.end() && found->second.m_authority.IsDispatcher();
  return leads ? found->second.m_termSince : TimePoint{};
}

std::vector<GroupId>
GroupManager::Led() const
{
  std::vector<GroupId> led;
  for (const auto& [id, role] : m_roles) {
    if (role.m_authority.IsDispatcher()) {
      led.push_back(id);
    }
  }
  return led;
}

} // namespace sapphirehook
