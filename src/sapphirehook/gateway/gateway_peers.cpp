#include "sapphirehook/gateway/gateway.hpp"

// What a daemon tells its peers, and does with what they tell.

namespace sapphirehook {

namespace {

/** In a large fleet the followers beat only at every so many of the leader's
    beats, which keeps their number at the leader down. */
constexpr unsigned kFollowerBeats = 2;
/** A new leader speaks to all hosts for this long. */
constexpr Millis kNewLeader{ 3000 };
/** While the leader does not reach the store, the others make a call this
    often to see whether they do. */
constexpr Millis kProbeAfter{ 1000 };

} // namespace

void
Gateway::OnMessage(const HostId& aFrom, const GossipMessage& aMessage)
{
  if (const auto* beat = std::get_if<Beat>(&aMessage)) {
    const TimePoint now = BootClock::now();
    TakeUse(now, aFrom, *beat);
    if (beat->m_storeWorks) {
      m_outages.OnServed(now - Millis(beat->m_storeProofAgeMs));
    } else {
      m_outages.OnRefused(now);
      const bool asks = !IsLargeFleet() || m_ownership.IsHeir();
      if (asks && beat->m_leads && now >= m_storeProvenAt + kProbeAfter &&
          now >= m_probedAt + kProbeAfter) {
        // The leader asks itself whether another should lead.
        m_probedAt = now;
        m_endpointReader.Probe();
      }
    }
    CompareEnds(now, aFrom, *beat);
  }
  if (const auto* relay = std::get_if<TopicRelay>(&aMessage)) {
    OnRelay(aFrom, *relay);
  }
  if (const auto* request = std::get_if<TopicRequest>(&aMessage)) {
    OnTopicRequest(aFrom, *request);
  }
  m_ownership.OnMessage(aFrom, aMessage);
  if (std::holds_alternative<Beat>(aMessage)) {
    m_engine.Pump();
  }
}

/** In a large fleet only the leader knows every daemon's use; it tells all of
    them the totals. */
void
Gateway::TakeUse(TimePoint aNow, const HostId& aFrom, const Beat& aBeat)
{
  if (aBeat.m_leads && aBeat.m_daemons > 0) {
    m_daemons = aBeat.m_daemons;
    m_leaderRelaysAt = aBeat.m_relays ? aNow : m_leaderRelaysAt;
  }
  m_relayHeardAt = aBeat.m_relays ? aNow : m_relayHeardAt;
  if (IsLargeFleet() && aBeat.m_leads) {
    m_engine.OnFleetUse(aNow, aBeat.m_totals);
  } else if (!IsLargeFleet() || m_ownership.Leads()) {
    m_engine.OnPeerUse(aNow, aFrom.m_host, aBeat.m_uses);
  }
}

void
Gateway::SendBeat()
{
  const TimePoint now = BootClock::now();
  const bool skips = IsLargeFleet() && !m_ownership.Leads() && !m_stopping &&
                     ++m_beats % kFollowerBeats != 0;
  if (skips) {
    m_log.Flush();
    return;
  }
  Beat beat;
  beat.m_stopping = m_stopping;
  beat.m_uses = m_engine.TakeUses(now);
  beat.m_ends[m_protocol.m_configTopic] = m_configReader.End();
  beat.m_ends[m_protocol.m_endpointTopic] = m_endpointReader.End();
  beat.m_storeWorks = m_storeWorks;
  beat.m_relays = m_storeWorks && RelaysBatches(now);
  beat.m_storeProofAgeMs =
    std::chrono::duration_cast<Millis>(now - m_storeProvenAt).count();
  m_ownership.FillBeat(beat);
  const auto leader = m_ownership.Leader(now);
  if (IsLargeFleet() && beat.m_leads) {
    beat.m_uses.clear();
    beat.m_totals = m_engine.Totals(now);
  }
  if (IsLargeFleet() && leader && !beat.m_leads && !beat.m_relays) {
    m_gossip.SendTo(leader->m_host, beat);
    beat.m_uses.clear();
    m_gossip.SendNext(beat);
  } else if (beat.m_leads && now < m_ownership.LedSince() + kNewLeader) {
    // Followers of another leader have not been heard of.
    m_gossip.SendToEach(now, beat);
  } else {
    m_gossip.SendAll(now, beat);
  }
  m_ownership.ReportKeys();
  if (!IsLargeFleet() || beat.m_leads) {
    m_daemons = m_gossip.AliveDaemons(now);
  }
  m_engine.SetDaemons(m_daemons);
  ChooseReaders(now);
  CatchUp(now);
  m_log.Flush();
}

} // namespace sapphirehook
