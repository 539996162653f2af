#include "sapphirehook/gateway/gateway.hpp"

#include "sapphirehook/gateway/internal/reader_times.hpp"

#include <algorithm>

// How the followed topics reach every daemon: who reads them from the store,
// what is passed on, and how a daemon that missed something gets it.

namespace sapphirehook {

using namespace internal;

namespace {

/** How the leader reads the followed topics: it finds a silent connection
   sooner than the others. */
constexpr ReaderTimes kLeaderReads{ .m_wait = Millis(2000),
                                    .m_gather = Millis(60) };
/** A daemon that follows a topic by itself reads anew when it has been behind
    its peers for this long, and takes what they have: the connection of its
   read may have gone silent, or its link may be full. */
constexpr Millis kBehindFor{ 300 };
/** One that is told of records asks the store too after this time, and this
    often. */
constexpr Millis kPeersFirst{ 600 };
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

/** Batches that are kept in their parts of each topic, for peers that ask for
    some of them. */
constexpr std::size_t kKeptRelays = 4;
/** How often a daemon that is behind looks what to ask for. */
constexpr Millis kLookEvery{ 50 };

} // namespace

TopicReader&
Gateway::ReaderOf(const std::string& aTopic)
{
  return aTopic == m_protocol.m_configTopic ? m_configReader : m_endpointReader;
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
  }
  PauseReaders(aNow, relayed);
  // Whoever may lead has to know whether it reaches the store.
  if (relayed && !m_storeWorks && aNow >= m_probedAt + kProbePausedEvery) {
    m_probedAt = aNow;
    static_cast<void>(m_endpointReader.Refresh());
  }
}

void
Gateway::PauseReaders(TimePoint aNow, bool aPause)
{
  const bool before = m_configReader.IsPaused();
  for (auto* reader : { &m_configReader, &m_endpointReader }) {
    if (aPause) {
      reader->Pause();
    } else {
      reader->Resume();
    }
  }
  if (m_configReader.IsPaused() != before) {
    m_log.Write(LogLine(before ? "follows-store" : "follows-peers")
                  .Add("leads", m_ownership.Leads() ? 1 : 0)
                  .Add("heir", m_ownership.IsHeir() ? 1 : 0)
                  .Add("leader_relays_age_ms", aNow - m_leaderRelaysAt)
                  .Add("relays_age_ms", aNow - m_relayHeardAt)
                  .Add("read_age_ms", aNow - m_readAt[m_protocol.m_configTopic])
                  .Add("version", m_configVersion),
                LogRank::State);
  }
}

bool
Gateway::RelaysBatches(TimePoint aNow) const
{
  return IsLargeFleet() &&
         (m_ownership.Leads() ||
          (m_ownership.IsHeir() && aNow >= m_leaderRelaysAt + kLeaderMissing));
}

const std::vector<TopicRelay>&
Gateway::RelaysSince(const std::string& aTopic, Offset aHave)
{
  const auto& reader = ReaderOf(aTopic);
  const Offset from = reader.Image().BatchFrom(aHave);
  auto& kept = m_spreads.at(aTopic).m_relays;
  const auto found =
    std::find_if(kept.begin(), kept.end(), [&](const auto& aOne) {
      return aOne.front().m_from == from && aOne.front().m_next == reader.End();
    });
  if (found != kept.end()) {
    return *found;
  }
  auto relays =
    SplitBatch({ aTopic, from, reader.End(), reader.Image().Since(from) });
  if (relays.empty()) {
    static const std::vector<TopicRelay> kNone;
    return kNone;
  }
  if (kept.size() >= kKeptRelays) {
    kept.pop_front();
  }
  return kept.emplace_back(std::move(relays));
}

void
Gateway::RelayRecords(const std::string& aTopic, Offset aFrom)
{
  const TimePoint now = BootClock::now();
  if (!RelaysBatches(now)) {
    return;
  }
  const auto& relays = RelaysSince(aTopic, aFrom);
  m_log.Write(LogLine("records-passed-on")
                .Add("topic", aTopic)
                .Add("from_offset", aFrom)
                .Add("next_offset", ReaderOf(aTopic).End())
                .Add("datagrams", relays.size()));
  // What is too large is asked for. Only the leader hears all others often
  // enough to know who is there.
  if (!IsPassedOnUnasked(relays.size())) {
    return;
  }
  for (const auto& relay : relays) {
    if (m_ownership.Leads()) {
      m_gossip.SendAll(now, relay);
    } else {
      m_gossip.SendToEach(now, relay);
    }
  }
}

void
Gateway::OnTopicRequest(const HostId& aFrom, const TopicRequest& aRequest)
{
  if (!m_spreads.contains(aRequest.m_topic)) {
    return; // another version's
  }
  const auto& reader = ReaderOf(aRequest.m_topic);
  if (!reader.IsCaughtUp() || reader.End() <= aRequest.m_have) {
    return; // nothing to give; the asker turns to another
  }
  if (!m_relayCredit.MaySpend(BootClock::now())) {
    WriteSparsely(aRequest.m_topic,
                  LogLine("request-for-records-left")
                    .Add("topic", aRequest.m_topic)
                    .Add("peer", aFrom.m_host)
                    .Add("have", aRequest.m_have));
    return;
  }
  const auto send = [&](const TopicRelay& aRelay) {
    const auto datagram = m_gossip.Serialize(aRelay);
    m_gossip.SendSerialized(aFrom.m_host, datagram);
    m_relayCredit.Spend(datagram.size());
  };
  const auto& kept = m_spreads.at(aRequest.m_topic).m_relays;
  const auto begun =
    std::find_if(kept.begin(), kept.end(), [&](const auto& aOne) {
      return aOne.front().m_from <= aRequest.m_have &&
             aOne.front().m_next == aRequest.m_next;
    });
  if (aRequest.m_missing.empty() || begun == kept.end()) {
    const auto& relays = RelaysSince(aRequest.m_topic, aRequest.m_have);
    std::for_each(relays.begin(), relays.end(), send);
    return;
  }
  for (const unsigned part : aRequest.m_missing) {
    if (part < begun->size()) {
      send((*begun)[part]);
    }
  }
}

void
Gateway::OnRelay(const HostId& aFrom, const TopicRelay& aRelay)
{
  const auto spread = m_spreads.find(aRelay.m_topic);
  if (spread == m_spreads.end()) {
    return; // another version's
  }
  const auto batch =
    spread->second.m_catchUp.OnPart(BootClock::now(), aFrom.m_host, aRelay);
  if (!batch) {
    return;
  }
  auto& reader = ReaderOf(batch->m_topic);
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

void
Gateway::CompareEnds(TimePoint aNow, const HostId& aFrom, const Beat& aBeat)
{
  for (auto& [topic, spread] : m_spreads) {
    const auto end = aBeat.m_ends.find(topic);
    if (end != aBeat.m_ends.end()) {
      spread.m_catchUp.OnEnd(aNow, aFrom.m_host, end->second);
    }
  }
  CatchUp(aNow);
}

/** Asks the peers for what this daemon has missed, when it depends on them, and
    the store when that brings nothing. */
void
Gateway::CatchUp(TimePoint aNow)
{
  for (auto& [topic, spread] : m_spreads) {
    auto& reader = ReaderOf(topic);
    auto& catchUp = spread.m_catchUp;
    const auto wasBehind = catchUp.Look(aNow, reader.End());
    if (wasBehind && *wasBehind >= kBehindFor) {
      m_log.Write(LogLine("reader-caught-up")
                    .Add("topic", topic)
                    .Add("have", reader.End())
                    .Add("behind_ms", *wasBehind),
                  LogRank::State);
    }
    if (!catchUp.BehindSince()) {
      continue;
    }
    m_catchUpTimer.Start(kLookEvery);
    const auto behind = aNow - *catchUp.BehindSince();
    if (behind >= kBehindFor) {
      reader.DependOnRelays();
    }
    const bool asksPeers = reader.TakesRelays();
    if (asksPeers) {
      if (const auto step = catchUp.Next(aNow, reader.End())) {
        m_gossip.SendTo(step->m_peer, step->m_request);
        WriteSparsely(
          topic,
          LogLine("records-asked-for")
            .Add("topic", topic)
            .Add("peer", step->m_peer)
            .Add("have", reader.End())
            .Add("peer_has", catchUp.KnownEnd())
            .Add("missing_parts", step->m_request.m_missing.size()));
      }
    }
    const auto every = reader.IsPaused() ? kPeersFirst : kBehindFor;
    const bool due = behind >= every && aNow >= spread.m_refreshedAt + every;
    if (due && reader.IsCaughtUp() && reader.Refresh(catchUp.KnownEnd())) {
      spread.m_refreshedAt = aNow;
      WriteSparsely(topic,
                    LogLine("reader-behind")
                      .Add("topic", topic)
                      .Add("have", reader.End())
                      .Add("peer_has", catchUp.KnownEnd())
                      .Add("behind_ms", behind));
    }
  }
}

} // namespace sapphirehook
