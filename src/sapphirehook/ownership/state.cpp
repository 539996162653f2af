#include "sapphirehook/ownership/state.hpp"

#include "sapphirehook/core/hash.hpp"
#include "sapphirehook/core/text.hpp"

#include <algorithm>
#include <limits>

namespace sapphirehook {

namespace {

absl::Status
Ignored(std::string_view aReason)
{
  return absl::FailedPreconditionError(std::string(aReason));
}

/** Drops layouts by which no endpoint can hold a partition any more. */
void
PruneLayouts(const ClusterState& aState,
             const std::string& aService,
             ServiceState& aServiceState)
{
  Version oldest = std::numeric_limits<Version>::max();
  for (const auto& [name, endpoint] : aState.m_endpoints) {
    if (endpoint.m_up && endpoint.m_config.m_service == aService) {
      oldest = std::min(oldest, endpoint.m_ack);
    }
  }
  auto& layouts = aServiceState.m_layouts;
  while (layouts.size() > 1 && layouts.front().m_version < oldest) {
    layouts.erase(layouts.begin());
  }
}

std::vector<LayoutMember>
MembersFor(const ClusterState& aState,
           const std::string& aService,
           const std::vector<std::string>* aAllowed)
{
  std::vector<LayoutMember> members;
  for (const auto& [name, endpoint] : aState.m_endpoints) {
    const bool takesPart =
      TakesPart(endpoint) && endpoint.m_config.m_service == aService;
    const bool allowed =
      aAllowed == nullptr ||
      std::find(aAllowed->begin(), aAllowed->end(), name) != aAllowed->end();
    if (takesPart && allowed) {
      members.push_back({ name, endpoint.m_config.m_weight });
    }
  }
  return members;
}

Layout
ComputeLayout(const ClusterState& aState,
              const std::string& aService,
              const ServiceState& aServiceState)
{
  Layout layout;
  layout.m_partitions = aServiceState.m_config.m_partitions;
  layout.m_domains.push_back({ "", MembersFor(aState, aService, nullptr) });
  for (const auto& rule : aServiceState.m_config.m_keyRules) {
    layout.m_domains.push_back(
      { rule.m_prefix, MembersFor(aState, aService, &rule.m_endpoints) });
  }
  if (aServiceState.m_layouts.empty()) {
    return layout;
  }
  for (const auto& [key, endpoint] : aServiceState.m_layouts.back().m_pins) {
    const auto found = aState.m_endpoints.find(endpoint);
    if (found != aState.m_endpoints.end() && TakesPart(found->second)) {
      layout.m_pins[key] = endpoint;
    }
  }
  return layout;
}

/** Appends a layout when it differs from the newest one, and prunes. */
void
AppendLayout(ClusterState& aState,
             const std::string& aService,
             ServiceState& aServiceState,
             Layout aLayout)
{
  auto& layouts = aServiceState.m_layouts;
  if (!layouts.empty()) {
    aLayout.m_version = layouts.back().m_version;
  }
  if (layouts.empty() || aLayout != layouts.back()) {
    aLayout.m_version = ++aState.m_lastLayout;
    layouts.push_back(std::move(aLayout));
  }
  PruneLayouts(aState, aService, aServiceState);
}

void
RebuildLayout(ClusterState& aState, const std::string& aService)
{
  const auto found = aState.m_services.find(aService);
  if (found == aState.m_services.end()) {
    return;
  }
  auto layout = ComputeLayout(aState, aService, found->second);
  AppendLayout(aState, aService, found->second, std::move(layout));
}

/** Forgets endpoints that have left and services without endpoints. */
void
CollectLeaving(ClusterState& aState)
{
  std::erase_if(aState.m_endpoints, [&](const auto& aEntry) {
    const auto& endpoint = aEntry.second;
    if (!endpoint.m_leaving) {
      return false;
    }
    const auto service = aState.m_services.find(endpoint.m_config.m_service);
    const bool settled =
      service == aState.m_services.end() || service->second.m_layouts.empty() ||
      endpoint.m_ack >= service->second.m_layouts.back().m_version;
    return !endpoint.m_up || (settled && endpoint.m_kept.empty());
  });
  std::erase_if(aState.m_services, [&](const auto& aEntry) {
    const bool used =
      std::any_of(aState.m_endpoints.begin(),
                  aState.m_endpoints.end(),
                  [&](const auto& aEndpoint) {
                    return aEndpoint.second.m_config.m_service == aEntry.first;
                  });
    return aEntry.second.m_removed && !used;
  });
}

absl::Status
Apply(ClusterState& aState, Offset /*aOffset*/, const JoinRecord& aJoin)
{
  const auto found = aState.m_members.find(aJoin.m_host.m_host);
  if (found != aState.m_members.end() &&
      found->second.m_incarnation >= aJoin.m_host.m_incarnation) {
    return Ignored("a newer incarnation has joined");
  }
  aState.m_members[aJoin.m_host.m_host] = { aJoin.m_host.m_incarnation,
                                            aJoin.m_region,
                                            aJoin.m_zone,
                                            aJoin.m_peerAddress };
  return absl::OkStatus();
}

absl::Status
Apply(ClusterState& aState, Offset /*aOffset*/, const LeaveRecord& aLeave)
{
  if (!IsMember(aState, aLeave.m_host)) {
    return Ignored("not a member");
  }
  aState.m_members.erase(aLeave.m_host.m_host);
  return absl::OkStatus();
}

absl::Status
Apply(ClusterState& aState, Offset /*aOffset*/, const ClaimRecord& aClaim)
{
  if (!IsMember(aState, aClaim.m_dispatcher)) {
    return Ignored("the claimer is not a member");
  }
  if (aClaim.m_group.m_number >= aState.m_groupsPerRegion) {
    return Ignored("no such group");
  }
  auto& group = aState.m_groups[aClaim.m_group];
  if (group.m_version != aClaim.m_expectedVersion) {
    return Ignored("the group has changed");
  }
  group = {
    group.m_term + 1,  group.m_version + 1,      aClaim.m_dispatcher,
    aClaim.m_standbys, aClaim.m_endpointLeaseMs, group.m_endpointLeaseMs
  };
  return absl::OkStatus();
}

absl::Status
Apply(ClusterState& aState, Offset /*aOffset*/, const StandbysRecord& aChange)
{
  const auto found = aState.m_groups.find(aChange.m_group);
  if (found == aState.m_groups.end() ||
      found->second.m_version != aChange.m_expectedVersion ||
      found->second.m_dispatcher != aChange.m_dispatcher) {
    return Ignored("the group has changed");
  }
  found->second.m_standbys = aChange.m_standbys;
  ++found->second.m_version;
  return absl::OkStatus();
}

/** Returns whether a term is the present one of a group. */
bool
IsCurrentTerm(const ClusterState& aState, const GroupId& aGroup, Term aTerm)
{
  const auto found = aState.m_groups.find(aGroup);
  return found != aState.m_groups.end() && found->second.m_term == aTerm;
}

/** Calls a function with each named endpoint of a group, and rebuilds the
    layouts of the services for which the function returned true. */
template<typename Change>
absl::Status
ChangeEndpoints(ClusterState& aState,
                const GroupId& aGroup,
                Term aTerm,
                const std::vector<std::string>& aNames,
                Change aChange)
{
  if (!IsCurrentTerm(aState, aGroup, aTerm)) {
    return Ignored("not the present term of the group");
  }
  std::vector<std::string> services;
  for (const auto& name : aNames) {
    const auto found = aState.m_endpoints.find(name);
    if (found == aState.m_endpoints.end() ||
        GroupOf(aState, name, found->second.m_config) != aGroup) {
      continue;
    }
    if (aChange(found->second)) {
      services.push_back(found->second.m_config.m_service);
    }
  }
  std::sort(services.begin(), services.end());
  services.erase(std::unique(services.begin(), services.end()), services.end());
  for (const auto& service : services) {
    RebuildLayout(aState, service);
  }
  if (services.empty()) {
    return Ignored("no endpoint changed");
  }
  return absl::OkStatus();
}

absl::Status
Apply(ClusterState& aState, Offset /*aOffset*/, const EndpointsUpRecord& aUp)
{
  const Version next = aState.m_lastLayout + 1;
  return ChangeEndpoints(aState,
                         aUp.m_group,
                         aUp.m_term,
                         aUp.m_endpoints,
                         [next](EndpointState& aEndpoint) {
                           const bool changes =
                             !aEndpoint.m_leaving &&
                             (!aEndpoint.m_up || aEndpoint.m_draining);
                           if (!changes) {
                             return false;
                           }
                           aEndpoint.m_draining = false;
                           if (!aEndpoint.m_up) {
                             aEndpoint.m_up = true;
                             aEndpoint.m_ack = next;
                           }
                           return true;
                         });
}

absl::Status
Apply(ClusterState& aState,
      Offset /*aOffset*/,
      const EndpointsDownRecord& aDown)
{
  auto status = ChangeEndpoints(aState,
                                aDown.m_group,
                                aDown.m_term,
                                aDown.m_endpoints,
                                [](EndpointState& aEndpoint) {
                                  const bool wasUp = aEndpoint.m_up;
                                  aEndpoint.m_up = false;
                                  aEndpoint.m_draining = false;
                                  aEndpoint.m_kept.clear();
                                  return wasUp;
                                });
  CollectLeaving(aState);
  return status;
}

absl::Status
Apply(ClusterState& aState,
      Offset /*aOffset*/,
      const EndpointsDrainingRecord& aDraining)
{
  return ChangeEndpoints(aState,
                         aDraining.m_group,
                         aDraining.m_term,
                         aDraining.m_endpoints,
                         [](EndpointState& aEndpoint) {
                           const bool changes =
                             aEndpoint.m_up && !aEndpoint.m_draining;
                           aEndpoint.m_draining = aEndpoint.m_up;
                           return changes;
                         });
}

absl::Status
Apply(ClusterState& aState, Offset /*aOffset*/, const ReleaseRecord& aRelease)
{
  if (!IsCurrentTerm(aState, aRelease.m_group, aRelease.m_term)) {
    return Ignored("not the present term of the group");
  }
  for (const auto& ack : aRelease.m_acks) {
    const auto found = aState.m_endpoints.find(ack.m_endpoint);
    if (found == aState.m_endpoints.end() ||
        GroupOf(aState, found->first, found->second.m_config) !=
          aRelease.m_group ||
        ack.m_layout > aState.m_lastLayout) {
      continue;
    }
    auto& endpoint = found->second;
    if (ack.m_layout < endpoint.m_ack) {
      continue;
    }
    endpoint.m_ack = ack.m_layout;
    endpoint.m_kept = ack.m_kept;
    const auto service = aState.m_services.find(endpoint.m_config.m_service);
    if (service != aState.m_services.end()) {
      PruneLayouts(aState, service->first, service->second);
    }
  }
  CollectLeaving(aState);
  return absl::OkStatus();
}

absl::Status
Apply(ClusterState& aState, Offset /*aOffset*/, const PinRecord& aPin)
{
  const auto service = aState.m_services.find(aPin.m_service);
  if (service == aState.m_services.end() || service->second.m_layouts.empty() ||
      service->second.m_layouts.back().m_version != aPin.m_expectedLayout) {
    return Ignored("the layout has changed");
  }
  Layout layout = service->second.m_layouts.back();
  if (aPin.m_endpoint.empty()) {
    layout.m_pins.erase(aPin.m_key);
  } else {
    const auto endpoint = aState.m_endpoints.find(aPin.m_endpoint);
    const Placement placement(layout);
    const auto domain = placement.PartitionOf(aPin.m_key).m_domain;
    const auto& members = layout.m_domains[domain].m_members;
    const bool allowed =
      endpoint != aState.m_endpoints.end() && TakesPart(endpoint->second) &&
      std::any_of(members.begin(), members.end(), [&](const auto& aMember) {
        return aMember.m_endpoint == aPin.m_endpoint;
      });
    if (!allowed) {
      return Ignored("the endpoint may not own the key");
    }
    layout.m_pins[aPin.m_key] = aPin.m_endpoint;
  }
  AppendLayout(aState, service->first, service->second, std::move(layout));
  return absl::OkStatus();
}

std::string
ObjectName(std::string_view aKind, std::string_view aName)
{
  return Concat(aKind, ":", aName);
}

/** Returns why a ticket cannot be accepted, or Ok. */
absl::Status
CheckEndpoint(const ClusterState& aState,
              const Ticket& aTicket,
              const std::string& aName,
              const std::optional<EndpointConfig>& aConfig)
{
  const auto present = aState.m_endpoints.find(aName);
  if (!aConfig) {
    return absl::OkStatus();
  }
  const auto touched = aTicket.m_services.find(aConfig->m_service);
  const auto service = aState.m_services.find(aConfig->m_service);
  const bool serviceKnown =
    touched != aTicket.m_services.end()
      ? touched->second.has_value()
      : service != aState.m_services.end() && !service->second.m_removed;
  if (!serviceKnown) {
    return absl::NotFoundError(Concat(
      "endpoint ", aName, ": service ", aConfig->m_service, " is not known"));
  }
  if (present == aState.m_endpoints.end()) {
    return absl::OkStatus();
  }
  const auto& old = present->second.m_config;
  const bool sameProcess = old.m_service == aConfig->m_service &&
                           old.m_address == aConfig->m_address &&
                           old.m_region == aConfig->m_region &&
                           old.m_checksGrants == aConfig->m_checksGrants;
  if (present->second.m_leaving || !sameProcess) {
    return absl::FailedPreconditionError(
      Concat("endpoint ",
             aName,
             " is in use: remove it and file it under another name"));
  }
  return absl::OkStatus();
}

absl::Status
CheckService(const ClusterState& aState,
             const Ticket& aTicket,
             const std::string& aName,
             const std::optional<ServiceConfig>& aConfig)
{
  if (aConfig) {
    for (const auto& [other, state] : aState.m_services) {
      const auto touched = aTicket.m_services.find(other);
      const bool replaced = touched != aTicket.m_services.end();
      if (!replaced && state.m_config.m_prefix == aConfig->m_prefix) {
        return absl::AlreadyExistsError(Concat(
          "service ", aName, ": service ", other, " has the same prefix"));
      }
    }
    return absl::OkStatus();
  }
  for (const auto& [name, endpoint] : aState.m_endpoints) {
    const auto touched = aTicket.m_endpoints.find(name);
    const bool removed =
      endpoint.m_leaving ||
      (touched != aTicket.m_endpoints.end() && !touched->second.has_value());
    if (endpoint.m_config.m_service == aName && !removed) {
      return absl::FailedPreconditionError(
        Concat("service ", aName, ": endpoint ", name, " still belongs to it"));
    }
  }
  return absl::OkStatus();
}

absl::Status
CheckNumbers(const ClusterState& aState, const Ticket& aTicket)
{
  const auto check = [&](const std::string& aObject) -> absl::Status {
    const auto last = aState.m_objectTickets.find(aObject);
    if (last != aState.m_objectTickets.end() &&
        last->second >= aTicket.m_number) {
      return absl::AbortedError(
        Concat("stale: ticket ", last->second, " has already set ", aObject));
    }
    return absl::OkStatus();
  };
  for (const auto& [name, config] : aTicket.m_services) {
    if (auto status = check(ObjectName("service", name)); !status.ok()) {
      return status;
    }
  }
  for (const auto& [name, config] : aTicket.m_endpoints) {
    if (auto status = check(ObjectName("endpoint", name)); !status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

absl::Status
CheckTicket(const ClusterState& aState, const Ticket& aTicket)
{
  if (auto status = CheckNumbers(aState, aTicket); !status.ok()) {
    return status;
  }
  const bool regroups =
    aTicket.m_groups != 0 && aTicket.m_groups != aState.m_groupsPerRegion;
  if (regroups && !aState.m_endpoints.empty()) {
    return absl::FailedPreconditionError(
      "groups can change only while there are no endpoints");
  }
  std::map<std::string, std::string> prefixes;
  for (const auto& [name, config] : aTicket.m_services) {
    if (auto status = CheckService(aState, aTicket, name, config);
        !status.ok()) {
      return status;
    }
    if (config && !prefixes.emplace(config->m_prefix, name).second) {
      return absl::AlreadyExistsError(
        Concat("service ", name, ": the prefix stands twice"));
    }
  }
  for (const auto& [name, config] : aTicket.m_endpoints) {
    if (auto status = CheckEndpoint(aState, aTicket, name, config);
        !status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

void
PutTicket(ClusterState& aState, const Ticket& aTicket)
{
  if (aTicket.m_groups != 0) {
    aState.m_groupsPerRegion = aTicket.m_groups;
  }
  std::vector<std::string> services;
  for (const auto& [name, config] : aTicket.m_services) {
    aState.m_objectTickets[ObjectName("service", name)] = aTicket.m_number;
    services.push_back(name);
    const auto found = aState.m_services.find(name);
    if (config) {
      auto& service = aState.m_services[name];
      service.m_config = *config;
      service.m_removed = false;
    } else if (found != aState.m_services.end()) {
      found->second.m_removed = true;
    }
  }
  for (const auto& [name, config] : aTicket.m_endpoints) {
    aState.m_objectTickets[ObjectName("endpoint", name)] = aTicket.m_number;
    const auto found = aState.m_endpoints.find(name);
    if (config) {
      aState.m_endpoints[name].m_config = *config;
      services.push_back(config->m_service);
    } else if (found != aState.m_endpoints.end()) {
      found->second.m_leaving = true;
      services.push_back(found->second.m_config.m_service);
    }
  }
  for (const auto& service : services) {
    RebuildLayout(aState, service);
  }
  CollectLeaving(aState);
}

/** Returns the accepted ticket of a number, or null. */
const TicketOutcome*
FindAccepted(const ClusterState& aState, std::uint64_t aNumber)
{
  const auto found = std::find_if(
    aState.m_tickets.begin(), aState.m_tickets.end(), [&](const auto& aKnown) {
      return aKnown.m_accepted && aKnown.m_number == aNumber;
    });
  return found == aState.m_tickets.end() ? nullptr : &*found;
}

absl::Status
DecideTicket(ClusterState& aState, const Ticket& aTicket)
{
  if (FindAccepted(aState, aTicket.m_number) != nullptr) {
    return absl::AbortedError("stale: another ticket has this number");
  }
  auto status = CheckTicket(aState, aTicket);
  if (status.ok()) {
    PutTicket(aState, aTicket);
  }
  return status;
}

absl::Status
Apply(ClusterState& aState, Offset /*aOffset*/, const TicketRecord& aRecord)
{
  if (aRecord.m_ticketOffset < aState.m_nextTicketOffset) {
    return Ignored("the ticket was read before");
  }
  aState.m_nextTicketOffset = aRecord.m_ticketOffset + 1;
  const auto ticket = ParseTicket(aRecord.m_text);
  TicketOutcome outcome;
  outcome.m_contentHash = StableHash(aRecord.m_text);
  outcome.m_number = ticket.ok() ? ticket->m_number : 0;
  const auto* known = FindAccepted(aState, outcome.m_number);
  if (known != nullptr && known->m_contentHash == outcome.m_contentHash) {
    return Ignored("the same ticket is in force");
  }
  auto status = ticket.ok() ? DecideTicket(aState, *ticket) : ticket.status();
  outcome.m_accepted = status.ok();
  outcome.m_reason = std::string(status.message());
  aState.m_tickets.push_back(std::move(outcome));
  while (aState.m_tickets.size() > kTicketHistory) {
    aState.m_tickets.pop_front();
  }
  return status;
}

absl::Status
Apply(ClusterState& aState, Offset aOffset, const SnapshotRecord& /*aRecord*/)
{
  aState.m_snapshotOffset = aOffset;
  return absl::OkStatus();
}

/** Returns whether the writer's numbering shows a repeated append. */
bool
IsRepeat(ClusterState& aState, const Record& aRecord)
{
  auto& writer = aState.m_writers[aRecord.m_writer.m_host];
  if (aRecord.m_writer.m_incarnation < writer.m_incarnation) {
    return true;
  }
  if (aRecord.m_writer.m_incarnation > writer.m_incarnation) {
    writer = { aRecord.m_writer.m_incarnation, 0 };
  }
  if (aRecord.m_sequence <= writer.m_sequence) {
    return true;
  }
  writer.m_sequence = aRecord.m_sequence;
  return false;
}

} // namespace

absl::Status
ApplyRecord(ClusterState& aState, Offset aOffset, const Record& aRecord)
{
  if (aOffset < aState.m_nextOffset) {
    return Ignored("the record was read before");
  }
  SkipRecord(aState, aOffset);
  if (IsRepeat(aState, aRecord)) {
    return Ignored("a repeat");
  }
  return std::visit(
    [&](const auto& aBody) { return Apply(aState, aOffset, aBody); },
    aRecord.m_body);
}

void
SkipRecord(ClusterState& aState, Offset aOffset) noexcept
{
  aState.m_nextOffset = std::max(aState.m_nextOffset, aOffset + 1);
}

bool
TakesPart(const EndpointState& aEndpoint) noexcept
{
  return aEndpoint.m_up && !aEndpoint.m_leaving && !aEndpoint.m_draining;
}

GroupId
GroupOf(const ClusterState& aState,
        const std::string& aEndpoint,
        const EndpointConfig& aConfig)
{
  const auto number = StableHash(aEndpoint) % aState.m_groupsPerRegion;
  return { aConfig.m_region, static_cast<std::uint32_t>(number) };
}

bool
IsMember(const ClusterState& aState, const HostId& aHost)
{
  const auto found = aState.m_members.find(aHost.m_host);
  return found != aState.m_members.end() &&
         found->second.m_incarnation == aHost.m_incarnation;
}

} // namespace sapphirehook
