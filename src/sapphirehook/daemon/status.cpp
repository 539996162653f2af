#include "sapphirehook/daemon/status.hpp"

#include "sapphirehook/core/json_text.hpp"

namespace sapphirehook {

namespace {

using Json = nlohmann::json;

Json
GroupsJson(TimePoint aNow, const Coordinator& aCoordinator)
{
  Json groups = Json::object();
  for (const auto& [id, group] : aCoordinator.State().m_groups) {
    Json standbys = Json::array();
    for (const auto& standby : group.m_standbys) {
      standbys.push_back(standby.m_host);
    }
    groups[ToString(id)] = {
      { "term", group.m_term },
      { "dispatcher", group.m_dispatcher.m_host },
      { "standbys", standbys },
      { "authority", aCoordinator.Groups().AuthorityUntil(id) > aNow }
    };
  }
  return groups;
}

Json
EndpointsJson(TimePoint aNow, const Coordinator& aCoordinator)
{
  Json endpoints = Json::object();
  const auto& state = aCoordinator.State();
  for (const auto& [name, endpoint] : state.m_endpoints) {
    const auto availability = aCoordinator.AvailabilityOf(name);
    const auto group = GroupOf(state, name, endpoint.m_config);
    endpoints[name] = { { "service", endpoint.m_config.m_service },
                        { "group", ToString(group) },
                        { "up", endpoint.m_up },
                        { "draining", endpoint.m_draining },
                        { "leaving", endpoint.m_leaving },
                        { "ack", endpoint.m_ack },
                        { "kept", endpoint.m_kept.size() },
                        { "usable", availability.m_usableUntil > aNow } };
  }
  return endpoints;
}

} // namespace

std::string
RenderStatus(TimePoint aNow,
             const Coordinator& aCoordinator,
             const RequestRouter& aRouter,
             const DaemonStats& aStats)
{
  const auto& state = aCoordinator.State();
  Json members = Json::object();
  for (const auto& [host, member] : state.m_members) {
    members[host] = { { "incarnation", member.m_incarnation },
                      { "region", member.m_region },
                      { "zone", member.m_zone },
                      { "peers", member.m_peerAddress } };
  }
  Json services = Json::object();
  for (const auto& [name, service] : state.m_services) {
    services[name] = { { "prefix", service.m_config.m_prefix },
                       { "partitions", service.m_config.m_partitions },
                       { "layout", aCoordinator.Owners().NewestLayout(name) },
                       { "unsettled_layouts", service.m_layouts.size() } };
  }
  Json status{ { "host", aStats.m_self.m_host },
               { "incarnation", aStats.m_self.m_incarnation },
               { "offset", state.m_nextOffset },
               { "ticket_offset", state.m_nextTicketOffset },
               { "log_readable", aCoordinator.IsLogReadable() },
               { "stale", aCoordinator.IsStale(aNow) },
               { "stopping", aStats.m_stopping },
               { "active_requests", aRouter.Active() },
               { "waiting", aRouter.Waiting() },
               { "ignored_records", aCoordinator.IgnoredRecords() },
               { "control",
                 { { "peer_bytes", aStats.m_peerBytes },
                   { "peer_messages", aStats.m_peerMessages },
                   { "lease_bytes", aStats.m_leaseBytes },
                   { "log_bytes", aStats.m_logBytes },
                   { "appends", aStats.m_appends } } },
               { "ring_refusals", aStats.m_ringRefusals },
               { "members", members },
               { "services", services },
               { "groups", GroupsJson(aNow, aCoordinator) },
               { "endpoints", EndpointsJson(aNow, aCoordinator) } };
  return SerializeJson(status);
}

std::string
RenderRoute(TimePoint aNow,
            const Coordinator& aCoordinator,
            const std::string& aService,
            const std::string& aKey)
{
  const auto decision = aCoordinator.Route(aNow, aService, aKey);
  Json route{ { "service", aService },
              { "key", aKey },
              { "endpoint", decision.m_endpoint },
              { "partition", PackPartition(decision.m_partition) },
              { "group", ToString(decision.m_group) },
              { "dispatcher", decision.m_dispatcher.m_host },
              { "local", decision.m_local } };
  if (decision.m_refusal) {
    route["refusal"] = AnswerFor(*decision.m_refusal).m_name;
  }
  return SerializeJson(route);
}

std::string
RenderTickets(const Coordinator& aCoordinator)
{
  Json tickets = Json::array();
  for (const auto& ticket : aCoordinator.State().m_tickets) {
    tickets.push_back({ { "number", ticket.m_number },
                        { "accepted", ticket.m_accepted },
                        { "reason", ticket.m_reason } });
  }
  return SerializeJson(tickets);
}

} // namespace sapphirehook
