#include "sapphirehook/gateway/gateway.hpp"

#include "sapphirehook/gateway/internal/reader_times.hpp"

#include <utility>

// What a daemon tells its peers, and does with what they tell.

namespace sapphirehook {

using namespace internal;

namespace {

/** In a large fleet the followers beat only at every so many of the leader's
    beats, which keeps their number at the leader down. */
constexpr unsigned kFollowerBeats = 2;
/** A new leader speaks to all hosts for this long. */
constexpr Millis kNewLeader{ 3000 };
/** The same for the leader, which finds a silent connection sooner. */
constexpr ReaderTimes kLeaderReads{ .m_wait = Millis(2000),
                                    .m_gather = Millis(60) };
/** While the leader does not reach the store, the others make a call this
    often to see whether they do. */
constexpr Millis kProbeAfter{ 1000 };
/** A daemon this long behind its peers in a topic reads anew. */
constexpr Millis kBehindFor{ 300 };
/** Heirs read the topics themselves once the leader has not passed records on
    for this long, and all daemons once nobody has. */
constexpr Millis kLeaderMissing{ 600 };
constexpr Millis kRelayMissing{ 1200 };
/** A daemon that does not read by itself, and was not served when it last did,
    makes a call this often. */
constexpr Millis kProbePausedEvery{ 2000 };
/** First and longest pause of a daemon of a large fleet that the store does not
    serve, and that is not among the first to lead: those try sooner, and pass
   on what they read. */
constexpr Millis kFirstPauseInLargeFleet{ 800 };
constexpr Millis kLongPauseInLargeFleet{ 6000 };
/** Pause after records in a large fleet, where each change is a call for each
    daemon. */
constexpr Millis kGatherInLargeFleet{ 400 };

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
    CompareEnds(*beat);
    HelpBehind(now, aFrom, *beat);
  }
  if (const auto* relay = std::get_if<TopicRelay>(&aMessage)) {
    OnRelay(aFrom, *relay);
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

/** Reads anew when a peer has been ahead for a while: the connection of the
    read under way may have gone silent. */
void
Gateway::CompareEnds(const Beat& aBeat)
{
  const TimePoint now = BootClock::now();
  for (auto* reader : { &m_configReader, &m_endpointReader }) {
    const auto& topic = reader == &m_configReader ? m_protocol.m_configTopic
                                                  : m_protocol.m_endpointTopic;
    const auto end = aBeat.m_ends.find(topic);
    auto& since = m_behindSince[topic];
    if (end == aBeat.m_ends.end() || !reader->IsCaughtUp()) {
      continue;
    }
    if (end->second <= reader->End()) {
      if (since != TimePoint{} && now >= since + kBehindFor) {
        since = {};
      }
      continue;
    }
    // What was passed on and did not arrive is read at once.
    const bool missed = reader->IsPaused() && aBeat.m_relays;
    if (since == TimePoint{} && !missed) {
      since = now;
    } else if (missed || now >= since + kBehindFor) {
      if (!reader->Refresh()) {
        continue;
      }
      since = {};
      WriteSparsely(topic,
                    LogLine("reader-behind")
                      .Add("topic", topic)
                      .Add("have", reader->End())
                      .Add("peer_has", end->second));
    }
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
  m_log.Flush();
}

/** In a large fleet the leader alone waits for records and passes them on.
   While it does not reach the store its heirs do so, and once none is heard of
   that does, each daemon follows the store itself. */
void
Gateway::ChooseReaders(TimePoint aNow)
{
  ReaderTimes times = m_ownership.Leads() ? kLeaderReads : kReads;
  times.m_afterNewest = m_settings.m_firstStart ? kFindLeader : kHearLeader;
  if (IsLargeFleet()) {
    times.m_gather = kGatherInLargeFleet;
    if (!m_ownership.Leads() && !m_ownership.IsHeir()) {
      times.m_firstPause = kFirstPauseInLargeFleet;
      times.m_longestPause = kLongPauseInLargeFleet;
    }
  }
  const bool heirReads =
    m_ownership.IsHeir() && aNow >= m_leaderRelaysAt + kLeaderMissing;
  const bool relayed = IsLargeFleet() && !m_ownership.Leads() && !heirReads &&
                       aNow < m_relayHeardAt + kRelayMissing;
  for (auto* reader : { &m_configReader, &m_endpointReader }) {
    reader->SetTimes(times);
    if (relayed) {
      reader->Pause();
    } else {
      reader->Resume();
    }
  }
  // Whoever may lead has to know whether it reaches the store.
  if (relayed && !m_storeWorks && aNow >= m_probedAt + kProbePausedEvery) {
    m_probedAt = aNow;
    static_cast<void>(m_endpointReader.Refresh());
  }
}

bool
Gateway::RelaysBatches(TimePoint aNow) const
{
  return IsLargeFleet() &&
         (m_ownership.Leads() ||
          (m_ownership.IsHeir() && aNow >= m_leaderRelaysAt + kLeaderMissing));
}

/** In a small fleet, gives a peer that the store does not serve what it has
   missed. */
void
Gateway::HelpBehind(TimePoint aNow, const HostId& aFrom, const Beat& aBeat)
{
  if (IsLargeFleet() || aBeat.m_storeWorks || !m_storeWorks) {
    return;
  }
  for (const auto& [topic, end] : aBeat.m_ends) {
    for (const auto* batch : m_histories[topic].Offer(
           aNow, aFrom.m_host, end, m_ownership.Leads())) {
      for (const auto& relay : SplitBatch(*batch)) {
        m_gossip.SendTo(aFrom.m_host, relay);
      }
    }
  }
}

void
Gateway::RelayBatch(const TopicBatch& aBatch)
{
  const TimePoint now = BootClock::now();
  if (!IsLargeFleet()) {
    m_histories[aBatch.m_topic].Add(aBatch);
  }
  if (!RelaysBatches(now)) {
    return;
  }
  const auto relays = SplitBatch(aBatch);
  m_log.Write(LogLine("records-passed-on")
                .Add("topic", aBatch.m_topic)
                .Add("from_offset", aBatch.m_from)
                .Add("next_offset", aBatch.m_next)
                .Add("datagrams", relays.size()));
  // What is too large to be passed on is read by each daemon itself. Only the
  // leader hears all others often enough to know who is there.
  for (const auto& relay : relays) {
    if (m_ownership.Leads()) {
      m_gossip.SendAll(now, relay);
    } else {
      m_gossip.SendToEach(now, relay);
    }
  }
}

void
Gateway::OnRelay(const HostId& aFrom, const TopicRelay& aRelay)
{
  const auto batch = m_batches.Add(aFrom.m_host, aRelay);
  if (!batch) {
    return;
  }
  auto& reader = batch->m_topic == m_protocol.m_configTopic ? m_configReader
                                                            : m_endpointReader;
  // What does not follow on this daemon's records it reads from the store.
  const Offset have = reader.End();
  m_recordsFrom = aFrom.m_host;
  const auto outcome =
    reader.Accept(batch->m_from, batch->m_next, batch->m_records);
  m_recordsFrom = "store";
  if (outcome != RelayOutcome::Taken && outcome != RelayOutcome::Known) {
    WriteSparsely(batch->m_topic,
                  LogLine("relay-refused")
                    .Add("topic", batch->m_topic)
                    .Add("why", RelayOutcomeName(outcome))
                    .Add("have", have)
                    .Add("from_offset", batch->m_from)
                    .Add("next_offset", batch->m_next)
                    .Add("sender", aFrom.m_host));
  }
}

} // namespace sapphirehook
