#include "sapphirehook/ownership/ticket_fold.hpp"

#include "sapphirehook/core/hash.hpp"
#include "sapphirehook/core/text.hpp"
#include "sapphirehook/ownership/layout_fold.hpp"

#include <algorithm>

namespace sapphirehook::internal {

namespace {

std::string
ObjectName(std::string_view aKind, std::string_view aName)
{
  return Concat(aKind, ":", aName);
}

/** Returns Ok if the ticket's change of an endpoint is valid, otherwise the
    reason for rejecting the ticket. */
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
  const bool changesGroups =
    aTicket.m_groups != 0 && aTicket.m_groups != aState.m_groupsPerRegion;
  if (changesGroups && !aState.m_endpoints.empty()) {
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
  RemoveDeparted(aState);
}

/** Returns the outcome of the accepted ticket with a number, or null. */
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

} // namespace

absl::Status
ApplyTicket(ClusterState& aState, const TicketRecord& aRecord)
{
  if (aRecord.m_ticketOffset < aState.m_nextTicketOffset) {
    return Ignored("the ticket has already been applied");
  }
  aState.m_nextTicketOffset = aRecord.m_ticketOffset + 1;
  const auto ticket = ParseTicket(aRecord.m_text);
  TicketOutcome outcome;
  outcome.m_contentHash = StableHash(aRecord.m_text);
  outcome.m_number = ticket.ok() ? ticket->m_number : 0;
  const auto* known = FindAccepted(aState, outcome.m_number);
  if (known != nullptr && known->m_contentHash == outcome.m_contentHash) {
    return Ignored("an identical ticket is already in force");
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

} // namespace sapphirehook::internal
