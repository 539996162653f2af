#include "sapphirehook/ownership/state.hpp"

#include "sapphirehook/core/hash.hpp"
#include "sapphirehook/core/text.hpp"
#include "sapphirehook/ownership/layout_fold.hpp"
#include "sapphirehook/ownership/ticket_fold.hpp"

#include <algorithm>
#include <limits>

namespace sapphirehook {

using internal::AppendLayout;
using internal::Ignored;
using internal::PruneLayouts;
using internal::RebuildLayout;
using internal::RemoveDeparted;

namespace {

absl::Status
Apply(ClusterState& aState, Offset /*aOffset*/, const JoinRecord& aJoin)
{
  const auto found = aState.m_members.find(aJoin.m_host.m_host);
  if (found != aState.m_members.end() &&
      found->second.m_incarnation == aJoin.m_host.m_incarnation) {
    return Ignored("the same incarnation of the host has already joined");
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
    return Ignored("the daemon is not a member");
  }
  aState.m_members.erase(aLeave.m_host.m_host);
  return absl::OkStatus();
}

absl::Status
Apply(ClusterState& aState, Offset /*aOffset*/, const ClaimRecord& aClaim)
{
  if (!IsMember(aState, aClaim.m_dispatcher)) {
    return Ignored("the dispatcher named in the claim is not a member");
  }
  if (aClaim.m_group.m_number >= aState.m_groupsPerRegion) {
    return Ignored(
      "the group number is not below the number of groups per region");
  }
  auto& group = aState.m_groups[aClaim.m_group];
  if (group.m_version != aClaim.m_expectedVersion) {
    return Ignored("the record does not name the current version of the group");
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
    return Ignored("the record does not name the current version or dispatcher "
                   "of the group");
  }
  found->second.m_standbys = aChange.m_standbys;
  ++found->second.m_version;
  return absl::OkStatus();
}

/** Returns whether a term is the current term of a group. */
bool
IsCurrentTerm(const ClusterState& aState, const GroupId& aGroup, Term aTerm)
{
  const auto found = aState.m_groups.find(aGroup);
  return found != aState.m_groups.end() && found->second.m_term == aTerm;
}

/** Applies a change to the named endpoints of a group and rebuilds the layouts
    of the affected services. The change returns whether it modified the
    endpoint. */
template<typename Change>
absl::Status
ChangeEndpoints(ClusterState& aState,
                const GroupId& aGroup,
                Term aTerm,
                const std::vector<std::string>& aNames,
                Change aChange)
{
  if (!IsCurrentTerm(aState, aGroup, aTerm)) {
    return Ignored("the record does not name the current term of the group");
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
    return Ignored("the record changes no endpoint");
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
  RemoveDeparted(aState);
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
    return Ignored("the record does not name the current term of the group");
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
  RemoveDeparted(aState);
  return absl::OkStatus();
}

absl::Status
Apply(ClusterState& aState, Offset /*aOffset*/, const PinRecord& aPin)
{
  const auto service = aState.m_services.find(aPin.m_service);
  if (service == aState.m_services.end() || service->second.m_layouts.empty() ||
      service->second.m_layouts.back().m_version != aPin.m_expectedLayout) {
    return Ignored("the record does not name the newest layout of the service");
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
      endpoint != aState.m_endpoints.end() &&
      IsLayoutEligible(endpoint->second) &&
      std::any_of(members.begin(), members.end(), [&](const auto& aMember) {
        return aMember.m_endpoint == aPin.m_endpoint;
      });
    if (!allowed) {
      return Ignored("the endpoint is not eligible to own the key");
    }
    layout.m_pins[aPin.m_key] = aPin.m_endpoint;
  }
  AppendLayout(aState, service->first, service->second, std::move(layout));
  return absl::OkStatus();
}

absl::Status
Apply(ClusterState& aState, Offset /*aOffset*/, const TicketRecord& aRecord)
{
  return internal::ApplyTicket(aState, aRecord);
}

absl::Status
Apply(ClusterState& aState, Offset aOffset, const SnapshotRecord& /*aRecord*/)
{
  aState.m_snapshotOffset = aOffset;
  return absl::OkStatus();
}

/** Number of earlier incarnations of a writer that are kept. Late records come
    from the latest ones. */
constexpr std::size_t kMaxEndedIncarnations = 8;

/** Returns whether a record is a repeated append, or a late one of an
   incarnation that a later one has replaced, and updates the writer's state.
   The numbers of incarnations come from a clock that may be set back, so they
   are compared for equality only: an incarnation that is not known yet is the
   latest. */
bool
IsRepeat(ClusterState& aState, const Record& aRecord)
{
  auto& writer = aState.m_writers[aRecord.m_writer.m_host];
  const auto incarnation = aRecord.m_writer.m_incarnation;
  if (std::find(writer.m_ended.begin(), writer.m_ended.end(), incarnation) !=
      writer.m_ended.end()) {
    return true;
  }
  if (incarnation != writer.m_incarnation) {
    if (writer.m_incarnation != 0) {
      writer.m_ended.push_back(writer.m_incarnation);
    }
    if (writer.m_ended.size() > kMaxEndedIncarnations) {
      writer.m_ended.pop_front();
    }
    writer.m_incarnation = incarnation;
    writer.m_sequence = 0;
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
    return Ignored("the record has already been applied");
  }
  SkipRecord(aState, aOffset);
  if (IsRepeat(aState, aRecord)) {
    return Ignored("repeated append");
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
IsLayoutEligible(const EndpointState& aEndpoint) noexcept
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
