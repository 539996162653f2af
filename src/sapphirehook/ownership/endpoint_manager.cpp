#include "sapphirehook/ownership/endpoint_manager.hpp"

#include <algorithm>
#include <iterator>

namespace sapphirehook {

namespace {

Millis
LongestDeadline(const ClusterState& aState, const std::string& aService)
{
  const auto service = aState.m_services.find(aService);
  if (service == aState.m_services.end()) {
    return Millis{ 0 };
  }
  std::uint32_t longest = service->second.m_config.m_deadlineMs;
  for (const auto& rule : service->second.m_config.m_requestRules) {
    longest = std::max(longest, rule.m_deadlineMs);
  }
  return Millis(longest);
}

} // namespace

EndpointManager::EndpointManager(NodeConfig aConfig,
                                 std::shared_ptr<AppendQueue> aAppends)
  : m_config(std::move(aConfig))
  , m_appends(std::move(aAppends))
{
}

void
EndpointManager::OnAnswer(TimePoint aNow,
                          const std::string& aEndpoint,
                          const LeaseCall& aCall,
                          const LeaseAnswer& aAnswer)
{
  const auto found = m_ledEndpoints.find(aEndpoint);
  if (found == m_ledEndpoints.end() ||
      found->second.m_term != aCall.m_token.m_term) {
    return;
  }
  auto& led = found->second;
  led.m_lease.OnAnswer(aNow, aCall, aAnswer);
  if (led.m_lease.HasAcceptedNewest()) {
    led.m_accepted = led.m_granted;
  }
  if (!aAnswer.m_accepted || led.m_untrackedEnded) {
    return;
  }
  const auto& own = m_running[aEndpoint];
  led.m_untrackedEnded = std::all_of(
    aAnswer.m_running.begin(),
    aAnswer.m_running.end(),
    [&](std::uint64_t aPartition) {
      return std::any_of(own.begin(), own.end(), [&](const auto& aEntry) {
        return aEntry.second.m_partition == aPartition;
      });
    });
  led.m_dirty = true;
}

void
EndpointManager::OnFailure(TimePoint aNow,
                           const std::string& aEndpoint,
                           const LeaseCall& aCall)
{
  const auto found = m_ledEndpoints.find(aEndpoint);
  if (found != m_ledEndpoints.end() &&
      found->second.m_term == aCall.m_token.m_term) {
    found->second.m_lease.OnFailure(aNow, aCall);
  }
}

void
EndpointManager::OnStarted(const std::string& aEndpoint,
                           std::uint64_t aRequest,
                           RunningRequest aRunning)
{
  m_running[aEndpoint][aRequest] = std::move(aRunning);
}

void
EndpointManager::OnEnded(const std::string& aEndpoint,
                         std::uint64_t aRequest,
                         bool aAnswered)
{
  const auto running = m_running.find(aEndpoint);
  if (running == m_running.end()) {
    return;
  }
  const auto request = running->second.find(aRequest);
  if (request == running->second.end()) {
    return;
  }
  const auto deadline = request->second.m_deadline;
  running->second.erase(request);
  if (running->second.empty()) {
    m_running.erase(running);
  }
  const auto found = m_ledEndpoints.find(aEndpoint);
  if (found == m_ledEndpoints.end()) {
    return;
  }
  auto& led = found->second;
  led.m_dirty = led.m_dirty || led.m_hasKeptPartitions;
  if (!aAnswered) {
    led.m_untrackedEnded = false;
    led.m_untrackedUntil = std::max(led.m_untrackedUntil, deadline);
  }
}

EndpointManager::Led
EndpointManager::MakeLedEndpoint(TimePoint aNow,
                                 const EndpointState& aEndpoint,
                                 const ClusterState& aState,
                                 const GroupId& aId,
                                 const Group& aGroup) const
{
  const auto& timing = m_config.m_timing;
  const LeaseConfig lease{ timing.m_endpointLease,
                           timing.m_driftPpm,
                           timing.m_renewEvery,
                           timing.m_endpointSuspectAfter };
  const bool first = aGroup.m_previousLeaseMs == 0;
  const auto previous =
    WithDrift(Millis(aGroup.m_previousLeaseMs), timing.m_driftPpm);
  Led led{ aId,
           aGroup.m_term,
           EndpointLease(aGroup.m_term, lease, aNow + previous),
           aEndpoint.m_config.m_checksGrants,
           aNow,
           first,
           0,
           0,
           {},
           {},
           {},
           true,
           false };
  if (!first) {
    led.m_untrackedUntil =
      aNow + LongestDeadline(aState, aEndpoint.m_config.m_service);
  }
  return led;
}

void
EndpointManager::UpdateLedEndpoints(TimePoint aNow,
                                    const ClusterState& aState,
                                    const GroupManager& aGroups)
{
  const bool known = m_scannedOffset == aState.m_nextOffset &&
                     m_scannedAuthority == aGroups.AuthorityChanges();
  if (known) {
    return;
  }
  m_scannedOffset = aState.m_nextOffset;
  m_scannedAuthority = aGroups.AuthorityChanges();
  std::map<GroupId, Term> terms;
  for (const auto& id : aGroups.Led()) {
    if (aGroups.AuthorityUntil(id) > aNow) {
      terms[id] = aState.m_groups.at(id).m_term;
    }
  }
  std::erase_if(m_ledEndpoints, [&](const auto& aEntry) {
    return !aState.m_endpoints.contains(aEntry.first);
  });
  for (const auto& [name, endpoint] : aState.m_endpoints) {
    const auto id = GroupOf(aState, name, endpoint.m_config);
    const auto term = terms.find(id);
    if (term == terms.end()) {
      continue;
    }
    const auto led = m_ledEndpoints.find(name);
    if (led == m_ledEndpoints.end() || led->second.m_term != term->second) {
      // The fold ignores a loss that was submitted in an earlier term.
      m_reportedLost.erase(name);
      m_ledEndpoints.insert_or_assign(
        name,
        MakeLedEndpoint(aNow, endpoint, aState, id, aState.m_groups.at(id)));
    }
  }
}

std::vector<std::uint64_t>
EndpointManager::KeptPartitions(const ClusterState& aState,
                                const Directory& aDirectory,
                                const std::string& aName,
                                const EndpointState& aEndpoint,
                                const Led& aLed) const
{
  std::vector<std::uint64_t> kept;
  const auto& service = aEndpoint.m_config.m_service;
  const auto running = m_running.find(aName);
  if (running != m_running.end()) {
    for (const auto& [id, request] : running->second) {
      const auto owner = aDirectory.OwnerOf(aState, service, request.m_key);
      if (owner.m_endpoint == nullptr || *owner.m_endpoint != aName) {
        kept.push_back(request.m_partition);
      }
    }
  }
  if (!aLed.m_untrackedEnded) {
    const auto held = aDirectory.SettledPartitions(aState, aName);
    for (const auto partition : aLed.m_lease.LastAnswer().m_running) {
      if (!std::binary_search(held.begin(), held.end(), partition)) {
        kept.push_back(partition);
      }
    }
  }
  std::sort(kept.begin(), kept.end());
  kept.erase(std::unique(kept.begin(), kept.end()), kept.end());
  return kept;
}

void
EndpointManager::RefreshGrant(const ClusterState& aState,
                              const Directory& aDirectory,
                              const std::string& aName,
                              const EndpointState& aEndpoint,
                              Led& aLed)
{
  const auto& service = aEndpoint.m_config.m_service;
  const auto stamp = aDirectory.StampOf(service);
  if (aLed.m_stamp == stamp && !aLed.m_dirty) {
    return;
  }
  aLed.m_stamp = stamp;
  aLed.m_dirty = false;
  auto wanted = aDirectory.SettledPartitions(aState, aName);
  const auto keptNow =
    KeptPartitions(aState, aDirectory, aName, aEndpoint, aLed);
  aLed.m_hasKeptPartitions = !keptNow.empty();
  wanted.insert(wanted.end(), keptNow.begin(), keptNow.end());
  std::sort(wanted.begin(), wanted.end());
  wanted.erase(std::unique(wanted.begin(), wanted.end()), wanted.end());
  std::vector<std::string> keys;
  const auto found = aState.m_services.find(service);
  if (found != aState.m_services.end() && !found->second.m_layouts.empty()) {
    for (const auto& [key, owner] : found->second.m_layouts.back().m_pins) {
      if (owner == aName &&
          aDirectory.OwnerOf(aState, service, key).m_settled) {
        keys.push_back(key);
      }
    }
  }
  aLed.m_layout = aDirectory.NewestLayout(service);
  if (wanted != aLed.m_granted || keys != aLed.m_keys) {
    aLed.m_granted = std::move(wanted);
    aLed.m_keys = std::move(keys);
    aLed.m_lease.ChangeGrant();
  }
}

bool
EndpointManager::HoldsNoPartition(TimePoint aNow,
                                  const std::string& aName,
                                  const Led& aLed) const
{
  if (aLed.m_checksGrants) {
    return aLed.m_lease.HasExpired(aNow);
  }
  const auto running = m_running.find(aName);
  const bool ownEnded = running == m_running.end() ||
                        std::all_of(running->second.begin(),
                                    running->second.end(),
                                    [aNow](const auto& aEntry) {
                                      return aNow >= aEntry.second.m_deadline;
                                    });
  return ownEnded && aNow >= aLed.m_untrackedUntil;
}

void
EndpointManager::CheckUpEndpoint(TimePoint aNow,
                                 const std::string& aName,
                                 const EndpointState& aEndpoint,
                                 Led& aLed,
                                 Changes& aChanges)
{
  const bool suspect = aLed.m_lease.IsSuspect(aNow);
  const bool lost = m_reportedLost.contains(aName);
  aLed.m_lease.SetProbeOnly(suspect || lost);
  if (suspect && !lost && HoldsNoPartition(aNow, aName, aLed)) {
    aChanges.m_down.push_back(aName);
    return;
  }
  if (suspect || lost || !aLed.m_lease.HasAnswered()) {
    return;
  }
  const bool draining = aLed.m_lease.LastAnswer().m_draining;
  if (draining && !aEndpoint.m_draining) {
    aChanges.m_draining.push_back(aName);
  } else if (!draining && aEndpoint.m_draining) {
    aChanges.m_up.push_back(aName);
  }
}

void
EndpointManager::CheckDownEndpoint(TimePoint aNow,
                                   const std::string& aName,
                                   const EndpointState& aEndpoint,
                                   Led& aLed,
                                   Changes& aChanges)
{
  m_reportedLost.erase(aName);
  aLed.m_lease.SetProbeOnly(true);
  aLed.m_accepted.clear();
  const auto since = aLed.m_lease.AnsweringSince();
  const bool steady =
    since != TimePoint{} && aNow - since >= m_config.m_timing.m_endpointUpAfter;
  const bool eligible =
    !aLed.m_lease.LastAnswer().m_draining && !aEndpoint.m_leaving;
  if (steady && eligible) {
    aChanges.m_up.push_back(aName);
  }
}

void
EndpointManager::AppendChanges(const GroupId& aGroup,
                               Changes aChanges,
                               Actions& aActions)
{
  const auto name = ToString(aGroup);
  const auto term = aChanges.m_term;
  const auto lost = aChanges.m_down;
  if (!lost.empty() &&
      m_appends->AppendOnce(
        "down " + name,
        EndpointsDownRecord{ aGroup, term, std::move(aChanges.m_down) },
        aActions)) {
    for (const auto& endpoint : lost) {
      m_reportedLost.insert(endpoint);
      aActions.emplace_back(EventAction{ "endpoint-lost", name, endpoint, "" });
    }
  }
  if (!aChanges.m_up.empty()) {
    m_appends->AppendOnce(
      "up " + name,
      EndpointsUpRecord{ aGroup, term, std::move(aChanges.m_up) },
      aActions);
  }
  if (!aChanges.m_draining.empty()) {
    m_appends->AppendOnce(
      "draining " + name,
      EndpointsDrainingRecord{ aGroup, term, std::move(aChanges.m_draining) },
      aActions);
  }
  if (!aChanges.m_acks.empty()) {
    m_appends->AppendOnce(
      "release " + name,
      ReleaseRecord{ aGroup, term, std::move(aChanges.m_acks) },
      aActions);
  }
}

void
EndpointManager::CollectRelease(TimePoint aNow,
                                const ClusterState& aState,
                                const Directory& aDirectory,
                                const std::string& aName,
                                const EndpointState& aEndpoint,
                                const Led& aLed,
                                std::vector<LayoutAck>& aAcks) const
{
  if (aLed.m_layout <= aEndpoint.m_ack && aEndpoint.m_kept.empty()) {
    return;
  }
  const bool revoked = aLed.m_checksGrants ? aLed.m_lease.HasAcceptedNewest()
                                           : aNow >= aLed.m_untrackedUntil;
  const bool current =
    aLed.m_layout == aDirectory.NewestLayout(aEndpoint.m_config.m_service);
  if (!revoked || !current) {
    return;
  }
  LayoutAck ack{ aName,
                 aLed.m_layout,
                 KeptPartitions(aState, aDirectory, aName, aEndpoint, aLed) };
  const bool changed =
    ack.m_layout > aEndpoint.m_ack || ack.m_kept != aEndpoint.m_kept;
  if (changed) {
    aAcks.push_back(std::move(ack));
  }
}

void
EndpointManager::SendLeaseCall(TimePoint aNow,
                               TimePoint aAuthorityUntil,
                               const std::string& aName,
                               const EndpointState& aEndpoint,
                               Led& aLed,
                               Actions& aActions)
{
  auto call = aLed.m_lease.NextCall(aNow);
  if (!call) {
    return;
  }
  LeaseCallAction action{ aName,
                          aEndpoint.m_config.m_address,
                          aEndpoint.m_config.m_service,
                          aLed.m_checksGrants,
                          *std::move(call),
                          {},
                          {},
                          aAuthorityUntil };
  if (action.m_call.m_withPartitions) {
    action.m_partitions = aLed.m_granted;
    action.m_keys = aLed.m_keys;
  }
  aActions.emplace_back(std::move(action));
}

void
EndpointManager::CollectChanges(TimePoint aNow,
                                const ClusterState& aState,
                                const Directory& aDirectory,
                                const std::string& aName,
                                const EndpointState& aEndpoint,
                                Led& aLed,
                                std::map<GroupId, Changes>& aChanges)
{
  Changes due;
  if (aEndpoint.m_up) {
    RefreshGrant(aState, aDirectory, aName, aEndpoint, aLed);
    CheckUpEndpoint(aNow, aName, aEndpoint, aLed, due);
    CollectRelease(
      aNow, aState, aDirectory, aName, aEndpoint, aLed, due.m_acks);
  } else {
    CheckDownEndpoint(aNow, aName, aEndpoint, aLed, due);
  }
  const bool unchanged = due.m_up.empty() && due.m_down.empty() &&
                         due.m_draining.empty() && due.m_acks.empty();
  if (unchanged) {
    return;
  }
  auto& all = aChanges[aLed.m_group];
  all.m_term = aLed.m_term;
  const auto move = [](auto& aFrom, auto& aInto) {
    std::move(aFrom.begin(), aFrom.end(), std::back_inserter(aInto));
  };
  move(due.m_up, all.m_up);
  move(due.m_down, all.m_down);
  move(due.m_draining, all.m_draining);
  move(due.m_acks, all.m_acks);
}

void
EndpointManager::OnTick(TimePoint aNow,
                        const ClusterState& aState,
                        const Directory& aDirectory,
                        const GroupManager& aGroups,
                        Actions& aActions)
{
  UpdateLedEndpoints(aNow, aState, aGroups);
  std::map<GroupId, Changes> changes;
  for (auto& [name, led] : m_ledEndpoints) {
    const auto found = aState.m_endpoints.find(name);
    const auto group = aState.m_groups.find(led.m_group);
    const auto until = aGroups.AuthorityUntil(led.m_group);
    const bool leads = found != aState.m_endpoints.end() &&
                       group != aState.m_groups.end() &&
                       group->second.m_term == led.m_term && aNow < until;
    if (!leads) {
      continue;
    }
    CollectChanges(aNow, aState, aDirectory, name, found->second, led, changes);
    SendLeaseCall(aNow, until, name, found->second, led, aActions);
  }
  for (auto& [id, due] : changes) {
    AppendChanges(id, std::move(due), aActions);
  }
}

EndpointAvailability
EndpointManager::AvailabilityOf(const ClusterState& aState,
                                const GroupManager& aGroups,
                                const std::string& aEndpoint) const
{
  EndpointAvailability availability;
  const auto found = m_ledEndpoints.find(aEndpoint);
  const auto endpoint = aState.m_endpoints.find(aEndpoint);
  if (found == m_ledEndpoints.end() || endpoint == aState.m_endpoints.end() ||
      !IsLayoutEligible(endpoint->second)) {
    return availability;
  }
  const auto& led = found->second;
  const auto id = GroupOf(aState, aEndpoint, endpoint->second.m_config);
  const auto group = aState.m_groups.find(id);
  if (group == aState.m_groups.end() || group->second.m_term != led.m_term ||
      led.m_lease.LastAnswer().m_draining) {
    return availability;
  }
  availability.m_usableUntil =
    std::min(aGroups.AuthorityUntil(led.m_group), led.m_lease.UsableUntil());
  availability.m_token = led.m_lease.AcceptedToken();
  if (!led.m_untrackedEnded) {
    const auto own = m_running.find(aEndpoint);
    const auto known = own == m_running.end() ? 0 : own->second.size();
    const auto reported = led.m_lease.LastAnswer().m_running.size();
    availability.m_untrackedRunning = reported > known ? reported - known : 0;
  }
  return availability;
}

bool
EndpointManager::HasAcceptedGrant(const std::string& aEndpoint,
                                  std::uint64_t aPartition) const
{
  const auto found = m_ledEndpoints.find(aEndpoint);
  return found != m_ledEndpoints.end() &&
         std::binary_search(found->second.m_accepted.begin(),
                            found->second.m_accepted.end(),
                            aPartition);
}

} // namespace sapphirehook
