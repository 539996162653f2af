#include "sapphirehook/gateway/map_exchange.hpp"

#include "sapphirehook/gossip/fleet_size.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

using namespace internal;

namespace {

/** Routes per datagram. With this number a datagram fits the usual MTU of 1,500
    bytes. */
constexpr std::size_t kRoutesPerDatagram = 40;
/** Time between two rounds of sending queued blocks. */
constexpr Millis kSendInterval{ 10 };
/** Time for which changes are batched in a large fleet, since each datagram
    goes to every daemon. */
constexpr Millis kGatherChanges{ 20 };

/** Splits routes into the parts that fit a datagram and calls a function with
    each part. */
template<typename Function>
void
ForEachDatagram(const std::vector<RangeRoute>& aRoutes, Function aFunction)
{
  for (std::size_t at = 0; at < aRoutes.size(); at += kRoutesPerDatagram) {
    const auto end = std::min(at + kRoutesPerDatagram, aRoutes.size());
    aFunction(
      std::vector<RangeRoute>(aRoutes.begin() + static_cast<long>(at),
                              aRoutes.begin() + static_cast<long>(end)));
  }
}

} // namespace

MapExchange::MapExchange(EventLoop& aLoop,
                         Gossip& aGossip,
                         RequestEngine& aEngine,
                         double aBytesPerSecond)
  : m_gossip(aGossip)
  , m_engine(aEngine)
  , m_queue(aBytesPerSecond)
  , m_sendTimer(aLoop, [this] { SendBlocks(); })
  , m_changesTimer(aLoop, [this] { SendChanges(); })
{
}

void
MapExchange::Publish(const std::string& aService,
                     const std::vector<RangeRoute>& aRoutes)
{
  if (aRoutes.empty()) {
    return;
  }
  for (const auto& route : aRoutes) {
    m_engine.SetRange(aService, route);
  }
  auto& unsent = m_unsentChanges[aService];
  const bool first = unsent.empty();
  unsent.insert(unsent.end(), aRoutes.begin(), aRoutes.end());
  if (m_gossip.AliveDaemons(BootClock::now()) <= kMaxSmallFleetSize) {
    SendChanges();
  } else if (first) {
    m_changesTimer.Start(kGatherChanges);
  }
  m_engine.ProcessQueues();
}

void
MapExchange::SendChanges()
{
  const TimePoint now = BootClock::now();
  for (const auto& entry : std::exchange(m_unsentChanges, {})) {
    const std::string& service = entry.first;
    ForEachDatagram(entry.second, [&](std::vector<RangeRoute> aPart) {
      m_gossip.SendAll(now, RouteUpdate{ service, m_term, std::move(aPart) });
    });
  }
}

std::vector<BlockDigest>
MapExchange::Digests(const std::string& aService) const
{
  const auto& map = m_engine.Ranges(aService);
  std::vector<BlockDigest> digests;
  for (unsigned block = 0; block < kBlocks; ++block) {
    digests.push_back(map.Digest(block));
  }
  return digests;
}

void
MapExchange::OnRequest(const HostId& aFrom, const RouteRequest& aRequest)
{
  const auto& map = m_engine.Ranges(aRequest.m_service);
  for (const auto& known : aRequest.m_known) {
    if (known.m_block < kBlocks &&
        known.m_digest != map.Digest(known.m_block)) {
      m_queue.Add({ aFrom.m_host, aRequest.m_service, known.m_block });
    }
  }
  SendBlocks();
}

std::vector<std::string>
MapExchange::SerializeBlock(const BlockRequest& aBlockRequest) const
{
  std::vector<std::string> datagrams;
  const auto routes =
    m_engine.Ranges(aBlockRequest.m_service).Block(aBlockRequest.m_block);
  ForEachDatagram(routes, [&](std::vector<RangeRoute> aPart) {
    datagrams.push_back(m_gossip.Serialize(
      RouteUpdate{ aBlockRequest.m_service, m_term, std::move(aPart) }));
  });
  return datagrams;
}

void
MapExchange::SendBlocks()
{
  const TimePoint now = BootClock::now();
  // Many daemons request the same blocks at once, so each is serialized once.
  std::map<std::pair<std::string, unsigned>, std::vector<std::string>> made;
  while (const auto blockRequest = m_queue.TakeNext(now)) {
    auto& datagrams = made[{ blockRequest->m_service, blockRequest->m_block }];
    if (datagrams.empty()) {
      datagrams = SerializeBlock(*blockRequest);
    }
    for (const auto& datagram : datagrams) {
      m_gossip.SendSerialized(blockRequest->m_host, datagram);
      m_queue.OnSent(datagram.size());
    }
  }
  if (!m_queue.IsEmpty()) {
    m_sendTimer.Start(kSendInterval);
  }
}

void
MapExchange::StopLeading()
{
  m_queue.Clear();
  m_unsentChanges.clear();
  m_sendTimer.Stop();
  m_changesTimer.Stop();
}

void
MapExchange::OnDigests(
  const HostId& aLeader,
  const std::map<std::string, std::vector<BlockDigest>>& aMaps)
{
  for (const auto& [service, digests] : aMaps) {
    m_followers[service].OnDigests(digests, m_engine.Ranges(service));
    RequestBlocks(aLeader.m_host, service);
  }
}

void
MapExchange::OnMisdirected(const std::optional<HostId>& aLeader,
                           const std::string& aService,
                           Key aKey)
{
  m_followers[aService].OnMisdirected(aKey);
  if (aLeader) {
    RequestBlocks(aLeader->m_host, aService);
  }
}

void
MapExchange::RequestBlocks(const std::string& aLeader,
                           const std::string& aService)
{
  const auto due = m_followers[aService].TakeDue(BootClock::now());
  if (due.empty()) {
    return;
  }
  const auto& map = m_engine.Ranges(aService);
  RouteRequest request;
  request.m_service = aService;
  for (const unsigned block : due) {
    request.m_known.push_back({ block, map.Digest(block) });
  }
  m_gossip.SendTo(aLeader, request);
}

void
MapExchange::OnUpdate(const RouteUpdate& aUpdate)
{
  m_followers[aUpdate.m_service].OnRoutes();
  for (const auto& route : aUpdate.m_routes) {
    m_engine.SetRange(aUpdate.m_service, route);
  }
  m_engine.ProcessQueues();
}

} // namespace sapphirehook
