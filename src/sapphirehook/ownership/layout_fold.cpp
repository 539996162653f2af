#include "sapphirehook/ownership/layout_fold.hpp"

#include <algorithm>
#include <limits>

namespace sapphirehook::internal {

namespace {

std::vector<LayoutMember>
MembersFor(const ClusterState& aState,
           const std::string& aService,
           const std::vector<std::string>* aAllowed)
{
  std::vector<LayoutMember> members;
  for (const auto& [name, endpoint] : aState.m_endpoints) {
    const bool eligible =
      IsLayoutEligible(endpoint) && endpoint.m_config.m_service == aService;
    const bool allowed =
      aAllowed == nullptr ||
      std::find(aAllowed->begin(), aAllowed->end(), name) != aAllowed->end();
    if (eligible && allowed) {
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
    if (found != aState.m_endpoints.end() && IsLayoutEligible(found->second)) {
      layout.m_pins[key] = endpoint;
    }
  }
  return layout;
}

} // namespace

absl::Status
Ignored(std::string_view aReason)
{
  return absl::FailedPreconditionError(std::string(aReason));
}

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

void
RemoveDeparted(ClusterState& aState)
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

} // namespace sapphirehook::internal
