#include "sapphirehook/ownership/contacts.hpp"

#include "sapphirehook/core/hash.hpp"

#include <algorithm>

namespace sapphirehook {

namespace {

constexpr std::size_t kStandbyCount = 2;

std::string
ZoneOf(const ClusterState& aState, const HostId& aHost)
{
  const auto found = aState.m_members.find(aHost.m_host);
  return found == aState.m_members.end() ? std::string() : found->second.m_zone;
}

} // namespace

TimePoint
Contacts::LastContact(const HostId& aHost) const
{
  const auto found = m_lastContact.find(aHost);
  return found == m_lastContact.end() ? TimePoint{} : found->second;
}

bool
Contacts::IsFresh(TimePoint aNow,
                  const HostId& aHost,
                  std::chrono::nanoseconds aMaxAge) const
{
  const auto lastContact = LastContact(aHost);
  return lastContact != TimePoint{} && aNow - lastContact < aMaxAge &&
         !IsLeaving(aHost);
}

void
Contacts::Retain(const ClusterState& aState)
{
  std::erase_if(m_lastContact, [&](const auto& aEntry) {
    return !IsMember(aState, aEntry.first);
  });
  std::erase_if(m_leaving,
                [&](const auto& aHost) { return !IsMember(aState, aHost); });
}

std::vector<HostId>
RankMembers(const ClusterState& aState,
            const std::string& aRegion,
            std::uint64_t aHash)
{
  std::vector<std::pair<double, HostId>> scored;
  const auto collect = [&](bool aAnyRegion) {
    for (const auto& [host, member] : aState.m_members) {
      if (aAnyRegion || member.m_region == aRegion) {
        const auto score = RendezvousScore(aHash, StableHash(host), 1);
        scored.emplace_back(score, HostId{ host, member.m_incarnation });
      }
    }
  };
  collect(false);
  if (scored.empty()) {
    collect(true);
  }
  std::sort(scored.rbegin(), scored.rend());
  std::vector<HostId> ranked;
  ranked.reserve(scored.size());
  for (auto& entry : scored) {
    ranked.push_back(std::move(entry.second));
  }
  return ranked;
}

std::vector<HostId>
ChooseStandbys(const ClusterState& aState,
               const HostId& aDispatcher,
               const std::vector<HostId>& aCandidates)
{
  std::vector<HostId> chosen;
  std::set<std::string> zones{ ZoneOf(aState, aDispatcher) };
  const auto add = [&](bool aNewZoneOnly) {
    for (const auto& host : aCandidates) {
      const bool taken =
        host.m_host == aDispatcher.m_host ||
        std::find(chosen.begin(), chosen.end(), host) != chosen.end();
      const bool zoneFits =
        !aNewZoneOnly || !zones.contains(ZoneOf(aState, host));
      if (chosen.size() < kStandbyCount && !taken && zoneFits) {
        chosen.push_back(host);
        zones.insert(ZoneOf(aState, host));
      }
    }
  };
  add(true);
  add(false);
  return chosen;
}

} // namespace sapphirehook
