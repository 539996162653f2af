#include "support/generate.hpp"

#include "sapphirehook/core/text.hpp"

#include <nlohmann/json.hpp>

namespace support {

using namespace sapphirehook;
using Json = nlohmann::json;

namespace {

constexpr std::uint64_t kServices = 2;
constexpr std::uint64_t kEndpoints = 6;
constexpr std::uint64_t kHosts = 4;

std::string
EndpointName(std::uint64_t aIndex)
{
  return Concat("e", aIndex);
}

HostId
RandomHost(std::mt19937& aRandom)
{
  return { Concat("h", Draw(aRandom, kHosts)), 1 + Draw(aRandom, 3) };
}

/** A group, its term and some endpoints, mostly endpoints of that group. */
struct Target
{
  GroupId m_group;
  Term m_term = 0;
  std::vector<std::string> m_endpoints;
};

Target
RandomTarget(std::mt19937& aRandom, const ClusterState& aState)
{
  Target target;
  target.m_group = { "r1", static_cast<std::uint32_t>(Draw(aRandom, 2)) };
  const auto group = aState.m_groups.find(target.m_group);
  target.m_term = group == aState.m_groups.end() ? 0 : group->second.m_term;
  if (Draw(aRandom, 8) == 0) {
    ++target.m_term;
  }
  for (const auto& [name, endpoint] : aState.m_endpoints) {
    const bool own = GroupOf(aState, name, endpoint.m_config) == target.m_group;
    if ((own || Draw(aRandom, 8) == 0) && Draw(aRandom, 2) == 0) {
      target.m_endpoints.push_back(name);
    }
  }
  return target;
}

RecordBody
RandomRelease(std::mt19937& aRandom, const ClusterState& aState)
{
  const auto target = RandomTarget(aRandom, aState);
  ReleaseRecord release{ target.m_group, target.m_term, {} };
  for (const auto& name : target.m_endpoints) {
    const auto back = Draw(aRandom, 3);
    const auto layout =
      aState.m_lastLayout > back ? aState.m_lastLayout - back : 0;
    LayoutAck ack{ name, layout, {} };
    if (Draw(aRandom, 4) == 0) {
      ack.m_kept.push_back(Draw(aRandom, 8));
    }
    release.m_acks.push_back(std::move(ack));
  }
  return release;
}

} // namespace

std::uint64_t
Draw(std::mt19937& aRandom, std::uint64_t aLimit)
{
  return std::uniform_int_distribution<std::uint64_t>(0, aLimit - 1)(aRandom);
}

std::string
RandomTicket(std::mt19937& aRandom, std::uint64_t aNumber)
{
  Json ticket{ { "number", aNumber }, { "groups", 2 } };
  for (std::uint64_t i = 0; i < kServices; ++i) {
    const auto name = Concat("s", i);
    if (Draw(aRandom, 3) == 0) {
      ticket["services"][name] = { { "prefix", Concat("/", name, "/") },
                                   { "partitions", 8 },
                                   { "key", { { "header", "X-Key" } } } };
      if (Draw(aRandom, 3) == 0) {
        ticket["services"][name]["keys"] = Json::array(
          { { { "prefix", "vip" },
              { "endpoints", { EndpointName(Draw(aRandom, kEndpoints)) } } } });
      }
    }
  }
  for (std::uint64_t i = 0; i < kEndpoints; ++i) {
    const auto choice = Draw(aRandom, 5);
    if (choice == 0) {
      ticket["endpoints"][EndpointName(i)] = nullptr;
    } else if (choice < 3) {
      ticket["endpoints"][EndpointName(i)] = {
        { "service", Concat("s", i % kServices) },
        { "address", Concat("127.0.0.1:", 9000 + i) },
        { "region", "r1" },
        { "zone", "z1" },
        { "weight", 1 + Draw(aRandom, 2) }
      };
    }
  }
  auto text = ticket.dump();
  if (Draw(aRandom, 20) == 0) {
    text.resize(text.size() / 2);
  }
  return text;
}

RecordBody
RandomBody(std::mt19937& aRandom,
           const ClusterState& aState,
           std::uint64_t aRound)
{
  switch (Draw(aRandom, 11)) {
    case 0:
      return JoinRecord{
        RandomHost(aRandom), "r1", "z1", Concat("127.0.0.1:", aRound)
      };
    case 1:
      return LeaveRecord{ RandomHost(aRandom) };
    case 2: {
      const auto target = RandomTarget(aRandom, aState);
      const auto group = aState.m_groups.find(target.m_group);
      const Version version =
        group == aState.m_groups.end() ? 0 : group->second.m_version;
      return ClaimRecord{ target.m_group,
                          version + Draw(aRandom, 4) / 3,
                          RandomHost(aRandom),
                          { RandomHost(aRandom) },
                          600 };
    }
    case 3: {
      const auto target = RandomTarget(aRandom, aState);
      return EndpointsDownRecord{ target.m_group,
                                  target.m_term,
                                  target.m_endpoints };
    }
    case 4:
    case 5: {
      const auto target = RandomTarget(aRandom, aState);
      return EndpointsUpRecord{ target.m_group,
                                target.m_term,
                                target.m_endpoints };
    }
    case 6: {
      const auto target = RandomTarget(aRandom, aState);
      return EndpointsDrainingRecord{ target.m_group,
                                      target.m_term,
                                      target.m_endpoints };
    }
    case 7: {
      const auto service = Concat("s", Draw(aRandom, kServices));
      const auto found = aState.m_services.find(service);
      const bool laidOut =
        found != aState.m_services.end() && !found->second.m_layouts.empty();
      const auto version =
        laidOut ? found->second.m_layouts.back().m_version : 0;
      const bool ends = Draw(aRandom, 3) == 0;
      return PinRecord{ service,
                        version,
                        Concat("k", Draw(aRandom, 40)),
                        ends ? "" : EndpointName(Draw(aRandom, kEndpoints)) };
    }
    case 8:
      return TicketRecord{ aState.m_nextTicketOffset + Draw(aRandom, 3) / 2,
                           RandomTicket(aRandom, 1 + aRound / 4) };
    default:
      return RandomRelease(aRandom, aState);
  }
}

} // namespace support
