#include "sapphirehook/gateway/gateway.hpp"

// What a daemon tells its peers, and does with what they tell.

namespace sapphirehook {

namespace {

/** In a large fleet the followers beat only at every so many of the leader's
    beats, which keeps their number at the leader down. */
constexpr unsigned kFollowerBeats = 2;
/** A new leader speaks to all hosts for this long. */
constexpr Millis kNewLeader{ 3000 };

} // namespace

void
Gateway::OnMessage(const HostId& aFrom, const GossipMessage& aMessage)
{
  if (const auto* beat = std::get_if<GossipHeartbeat>(&aMessage)) {
    const TimePoint now = BootClock::now();
    // A daemon that was frozen reads old beats first.
    const TimePoint cameAt = m_arrivals.EarliestArrival(now);
    TakeUse(now, aFrom, *beat);
    if (beat->m_storeWorks) {
      m_outages.OnServed(cameAt - Millis(beat->m_storeConfirmationAgeMs));
    } else {
      m_outages.OnRefused(now);
    }
    TakeProofs(cameAt, aFrom, *beat);
    CompareEnds(now, aFrom, *beat);
  }
  if (const auto* relay = std::get_if<TopicRelay>(&aMessage)) {
    OnRelay(aFrom, *relay);
  }
  if (const auto* request = std::get_if<TopicRequest>(&aMessage)) {
    OnTopicRequest(aFrom, *request);
  }
  m_ownership.OnMessage(aFrom, aMessage);
  if (std::holds_alternative<GossipHeartbeat>(aMessage)) {
    m_engine.Pump();
  }
}

/** In a large fleet only the leader knows every daemon's use; it tells all of
    them the totals. */
void
Gateway::TakeUse(TimePoint aNow,
                 const HostId& aFrom,
                 const GossipHeartbeat& aBeat)
{
  if (aBeat.m_leads && aBeat.m_daemons > 0) {
    m_fleet.OnLeaderCount(aBeat.m_daemons);
  }
  if (m_fleet.IsLarge() && aBeat.m_leads) {
    m_engine.OnFleetUse(aNow, aBeat.m_totals);
  } else if (!m_fleet.IsLarge() || m_ownership.Leads()) {
    m_engine.OnPeerUse(aNow, aFrom.m_host, aBeat.m_uses);
  }
}

/** Followers in a large fleet speak less often. */
void
Gateway::OnTick()
{
  const TimePoint now = BootClock::now();
  m_arrivals.OnTick(now);
  const bool skips = m_fleet.IsLarge() && !m_ownership.Leads() && !m_stopping &&
                     !PassesOnAny() && ++m_beats % kFollowerBeats != 0;
  if (!skips) {
    SendBeat();
    m_ownership.ReportKeys();
    CountDaemons(now);
  }
  ChooseReaders(now);
  CatchUp(now);
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
Gateway::MakeBeat(TimePoint aNow)
{
  GossipHeartbeat beat;
  beat.m_stopping = m_stopping;
  beat.m_uses = m_engine.TakeUses(aNow);
  for (const auto& [topic, spread] : m_spreads) {
    beat.m_ends[topic] = ReaderOf(topic).End();
    const auto& proof = spread.m_ownProof;
    if (proof.m_at != TimePoint{}) {
      const auto age = std::chrono::ceil<Millis>(aNow - proof.m_at);
      beat.m_reportedEnds[topic] = { proof.m_end, age.count() };
    }
  }
  beat.m_storeWorks = m_storeWorks;
  beat.m_relays = m_storeWorks && PassesOnAny();
  beat.m_storeConfirmationAgeMs =
    std::chrono::duration_cast<Millis>(aNow - m_storeConfirmedAt).count();
  m_ownership.FillBeat(beat);
  if (beat.m_leads) {
    CountDaemons(aNow);
    beat.m_daemons = static_cast<std::uint32_t>(m_fleet.Daemons());
  }
  if (m_fleet.IsLarge() && beat.m_leads) {
    beat.m_uses.clear();
    beat.m_totals = m_engine.Totals(aNow);
  }
  return beat;
}

void
Gateway::SendBeat()
{
  const TimePoint now = BootClock::now();
  GossipHeartbeat beat = MakeBeat(now);
  const auto leader = m_ownership.Leader(now);
  const bool newLeader =
    beat.m_leads && now < m_ownership.LedSince() + kNewLeader;
  if (m_fleet.IsLarge() && leader && !beat.m_leads && !beat.m_relays) {
    m_gossip.SendTo(leader->m_host, beat);
    beat.m_uses.clear();
    m_gossip.SendNext(beat);
  } else if (newLeader ||
             (m_fleet.IsLarge() && !beat.m_leads && beat.m_relays)) {
    // Followers of another leader have not been heard of.
    m_gossip.SendToEach(now, beat);
  } else {
    m_gossip.SendAll(now, beat);
  }
}

} // namespace sapphirehook
