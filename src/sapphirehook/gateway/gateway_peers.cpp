#include "sapphirehook/gateway/gateway.hpp"

// Heartbeats to the peers, and the handling of messages from them.

namespace sapphirehook {

namespace {

/** Number of heartbeat ticks for each heartbeat of a follower in a large fleet,
    which limits the messages that the leader receives. */
constexpr unsigned kFollowerHeartbeatDivisor = 2;
/** Time for which a new leader sends its heartbeats to each registered host. */
constexpr Millis kNewLeaderPeriod{ 3000 };

} // namespace

void
Gateway::OnMessage(const HostId& aFrom, const GossipMessage& aMessage)
{
  if (const auto* heartbeat = std::get_if<GossipHeartbeat>(&aMessage)) {
    const TimePoint now = BootClock::now();
    // After a freeze, a daemon first reads the heartbeats that queued up.
    const TimePoint arrivedAt = m_arrivals.EarliestArrival(now);
    UpdateFleetUse(now, aFrom, *heartbeat);
    if (heartbeat->m_storeWorks) {
      m_outages.OnServed(arrivedAt -
                         Millis(heartbeat->m_storeConfirmationAgeMs));
    } else {
      m_outages.OnRefused(now);
    }
    OnPeerEra(arrivedAt, *heartbeat);
    m_startConfig.OnPeer(
      now,
      aFrom.m_host,
      { heartbeat->m_configVersion, heartbeat->m_isConfigInForce });
    OnPeerConfirmations(arrivedAt, aFrom, *heartbeat);
    CompareEnds(now, aFrom, *heartbeat);
  }
  if (const auto* relay = std::get_if<TopicRelay>(&aMessage)) {
    OnRelay(aFrom, *relay);
  }
  if (const auto* request = std::get_if<TopicRequest>(&aMessage)) {
    OnTopicRequest(aFrom, *request);
  }
  m_ownership.OnMessage(aFrom, aMessage);
  if (std::holds_alternative<GossipHeartbeat>(aMessage)) {
    m_engine.ProcessQueues();
  }
}

/** Records how much load a peer sends to endpoints. In a large fleet only the
    leader gets the figures of each daemon, and it sends the totals to all. */
void
Gateway::UpdateFleetUse(TimePoint aNow,
                        const HostId& aFrom,
                        const GossipHeartbeat& aHeartbeat)
{
  if (aHeartbeat.m_leads && aHeartbeat.m_daemons > 0) {
    m_fleet.OnLeaderCount(aHeartbeat.m_daemons);
  }
  if (m_fleet.IsLarge() && aHeartbeat.m_leads) {
    m_engine.OnFleetUse(aNow, aHeartbeat.m_totals);
    m_engine.Admission().OnFleetUse(aNow, aHeartbeat.m_kindTotals);
  } else if (!m_fleet.IsLarge() || m_ownership.Leads()) {
    m_engine.OnPeerUse(aNow, aFrom.m_host, aHeartbeat.m_uses);
    m_engine.Admission().OnPeerUse(aNow, aFrom.m_host, aHeartbeat.m_kindUses);
  }
}

/** Sends a heartbeat and runs the periodic checks. In a large fleet, followers
    that relay nothing send fewer heartbeats. */
void
Gateway::OnTick()
{
  const TimePoint now = BootClock::now();
  m_arrivals.OnTick(now);
  const bool skips = m_fleet.IsLarge() && !m_ownership.Leads() && !m_stopping &&
                     !RelaysAnyTopic() &&
                     ++m_followerTicks % kFollowerHeartbeatDivisor != 0;
  if (!skips) {
    SendHeartbeat();
    m_ownership.ReportKeys();
    CountDaemons(now);
  }
  ChooseReaders(now);
  CatchUp(now);
  UpdateHosts();
  WatchEvacuations(now);
  m_engine.ProcessQueues(); // a cold endpoint may admit the next request
  CheckHeldConfig(now);
  m_log.Flush();
}

void
Gateway::CountDaemons(TimePoint aNow)
{
  const bool leads = m_ownership.Leads();
  m_fleet.OnAliveCount(aNow,
                       m_gossip.AliveDaemons(aNow),
                       leads ? std::optional(m_ownership.LedSince())
                             : std::nullopt);
  m_engine.SetDaemons(m_fleet.Daemons());
}

GossipHeartbeat
Gateway::MakeHeartbeat(TimePoint aNow)
{
  GossipHeartbeat heartbeat;
  heartbeat.m_stopping = m_stopping;
  heartbeat.m_uses = m_engine.TakeUses(aNow);
  heartbeat.m_kindUses = m_engine.Admission().Report(aNow, true);
  for (const auto& [topic, topicState] : m_topicStates) {
    heartbeat.m_ends[topic] = ReaderOf(topic).End();
    heartbeat.m_positions[topic] = ReaderOf(topic).Position();
    const auto& confirmation = topicState.m_ownConfirmation;
    if (confirmation.m_at != TimePoint{}) {
      const auto age = std::chrono::ceil<Millis>(aNow - confirmation.m_at);
      heartbeat.m_reportedEnds[topic] = { confirmation.m_end.m_offset,
                                          age.count(),
                                          confirmation.m_end.m_era };
    }
  }
  if (m_eraBeganAt) {
    heartbeat.m_eraAgeMs =
      std::chrono::duration_cast<Millis>(aNow - *m_eraBeganAt).count();
  }
  heartbeat.m_isConfigInForce = m_engine.Routes() != nullptr;
  heartbeat.m_configVersion =
    m_heldConfig ? m_heldConfig->m_config.m_version : m_configVersion;
  heartbeat.m_storeWorks = m_storeWorks;
  heartbeat.m_relays = m_storeWorks && RelaysAnyTopic();
  heartbeat.m_storeConfirmationAgeMs =
    std::chrono::duration_cast<Millis>(aNow - m_storeConfirmedAt).count();
  m_ownership.FillHeartbeat(heartbeat);
  if (heartbeat.m_leads) {
    CountDaemons(aNow);
    heartbeat.m_daemons = static_cast<std::uint32_t>(m_fleet.Daemons());
  }
  if (m_fleet.IsLarge() && heartbeat.m_leads) {
    heartbeat.m_uses.clear();
    heartbeat.m_totals = m_engine.FleetUses(aNow);
    heartbeat.m_kindUses.clear();
    heartbeat.m_kindTotals = m_engine.Admission().FleetUses(aNow);
  }
  return heartbeat;
}

void
Gateway::SendHeartbeat()
{
  const TimePoint now = BootClock::now();
  GossipHeartbeat heartbeat = MakeHeartbeat(now);
  const auto leader = m_ownership.Leader(now);
  const bool newLeader =
    heartbeat.m_leads && now < m_ownership.LedSince() + kNewLeaderPeriod;
  if (m_fleet.IsLarge() && leader && !heartbeat.m_leads &&
      !heartbeat.m_relays) {
    m_gossip.SendTo(leader->m_host, heartbeat);
    heartbeat.m_uses.clear();
    heartbeat.m_kindUses.clear();
    m_gossip.SendNext(heartbeat);
  } else if (newLeader ||
             (m_fleet.IsLarge() && !heartbeat.m_leads && heartbeat.m_relays)) {
    // Gossip does not know yet which daemons are alive: followers have sent
    // heartbeats to the previous leader only.
    m_gossip.SendToEach(now, heartbeat);
  } else {
    m_gossip.SendAll(now, heartbeat);
  }
}

} // namespace sapphirehook
