#include "sapphirehook/gateway/gateway.hpp"

#include "sapphirehook/gateway/internal/reader_times.hpp"

#include <algorithm>
#include <utility>

// How the followed topics reach every daemon: who reads them from the store,
// what is passed on, and how a daemon that missed something gets it.

namespace sapphirehook {

using namespace internal;

namespace {

/** How long calls of a daemon wait for a record that reads for itself alone: a
    connection that has gone silent is noticed within the 3 s for which the
    users count it as reset. */
constexpr Millis kOwnReadWait{ 1000 };
/** A daemon that follows a topic by itself reads anew when it has been behind
    its peers for this long, and takes what they have: the connection of its
   read may have gone silent, or its link may be full. */
constexpr Millis kBehindFor{ 300 };
/** One that is told of records asks the store too after this time, and this
    often. */
constexpr Millis kPeersFirst{ 600 };
/** A daemon that does not read by itself, and was not served when it last did,
    makes a call this often. */
constexpr Millis kProbePausedEvery{ 2000 };
/** First and longest pause of a daemon of a large fleet that the store does not
    serve, and that is not among the first to lead: those try sooner, and pass
   on what they read. */
constexpr Millis kFirstPauseInLargeFleet{ 800 };
constexpr Millis kLongPauseInLargeFleet{ 6000 };
/** Pause after entries of endpoints in a large fleet, whose changes go to all
    daemons. Shorter than kProofEvery, or heirs would read meanwhile. */
constexpr Millis kGatherInLargeFleet{ 250 };

/** Batches that are kept in their parts of each topic, for peers that ask for
    some of them. */
constexpr std::size_t kKeptRelays = 4;
/** How often a daemon that is behind looks what to ask for, and the shortest
   time between two looks at who reads. */
constexpr Millis kLookEvery{ 50 };

} // namespace

const TopicReader&
Gateway::ReaderOf(const std::string& aTopic) const
{
  return aTopic == m_protocol.m_configTopic ? m_configReader : m_endpointReader;
}

TopicReader&
Gateway::ReaderOf(const std::string& aTopic)
{
  return const_cast<TopicReader&>(std::as_const(*this).ReaderOf(aTopic));
}

/** The leader reads and passes records on. When the last proof of a topic's end
    grows old, its heirs do, and then every daemon reads by itself. */
void
Gateway::ChooseReaders(TimePoint aNow)
{
  m_readPlace = { m_ownership.Leads(), m_ownership.ReadingPlace(aNow) };
  TimePoint next = TimePoint::max();
  for (auto& [topic, spread] : m_spreads) {
    const auto step = spread.m_duty.Next(aNow, m_readPlace);
    FollowOrPause(aNow, topic, step);
    next = std::min(next, step.m_nextCheckAt);
  }
  if (next != TimePoint::max()) {
    m_readersTimer.Start(
      std::max<std::chrono::nanoseconds>(next - aNow, kLookEvery));
  }
  // Whoever may lead has to know whether it reaches the store.
  if (m_endpointReader.IsPaused() && !m_storeWorks &&
      aNow >= m_probedAt + kProbePausedEvery) {
    m_probedAt = aNow;
    static_cast<void>(m_endpointReader.Refresh());
  }
}

ReaderTimes
Gateway::TimesOf(const std::string& aTopic) const
{
  ReaderTimes times = kReads;
  const bool readsForOthers =
    m_readPlace.m_leads || m_readPlace.m_successorIndex;
  times.m_wait = readsForOthers ? kConfirmationInterval : kOwnReadWait;
  if (m_fleet.IsLarge()) {
    if (aTopic == m_protocol.m_endpointTopic) {
      times.m_gather = kGatherInLargeFleet;
    }
    if (!readsForOthers) {
      times.m_firstPause = kFirstPauseInLargeFleet;
      times.m_longestPause = kLongPauseInLargeFleet;
    }
  }
  return times;
}

void
Gateway::FollowOrPause(TimePoint aNow,
                       const std::string& aTopic,
                       const ReadDecision& aStep)
{
  auto& reader = ReaderOf(aTopic);
  const bool wasPaused = reader.IsPaused();
  reader.SetTimes(TimesOf(aTopic));
  if (aStep.m_followsStore) {
    reader.Resume();
  } else {
    reader.Pause();
  }
  if (reader.IsPaused() != wasPaused) {
    const auto& duty = m_spreads.at(aTopic).m_duty;
    const auto heir = m_readPlace.m_successorIndex;
    m_log.Write(LogLine(wasPaused ? "follows-store" : "follows-peers")
                  .Add("topic", aTopic)
                  .Add("heir", heir ? static_cast<int>(*heir) : -1)
                  .Add("complete_ms_ago", aNow - duty.CompleteAt())
                  .Add("have", reader.End())
                  .Add("version", m_configVersion),
                LogPriority::State);
  }
}

/** Whether this daemon passes on what it reads of a topic. */
bool
Gateway::PassesOn(const std::string& aTopic) const
{
  return m_ownership.Leads() ||
         (m_readPlace.m_successorIndex && !ReaderOf(aTopic).IsPaused());
}

bool
Gateway::PassesOnAny() const
{
  return PassesOn(m_protocol.m_configTopic) ||
         PassesOn(m_protocol.m_endpointTopic);
}

/** Takes in what the store has told a peer. */
void
Gateway::TakeProofs(TimePoint aCameAt,
                    const HostId& aFrom,
                    const GossipHeartbeat& aBeat)
{
  const auto own = m_readPlace.m_successorIndex;
  const auto its = m_ownership.SuccessorPlace(aFrom.m_host);
  const bool before = aBeat.m_leads || (its && (!own || *its < *own));
  for (auto& [topic, spread] : m_spreads) {
    const auto told = aBeat.m_reportedEnds.find(topic);
    if (told != aBeat.m_reportedEnds.end()) {
      spread.m_duty.OnPeerConfirmation(
        { told->second.m_end, aCameAt - Millis(told->second.m_ageMs), {} },
        before,
        ReaderOf(topic).End());
    }
  }
}

void
Gateway::OnOwnConfirmation(const std::string& aTopic,
                           const EndConfirmation& aProof)
{
  auto& spread = m_spreads.at(aTopic);
  const EndConfirmation before = std::exchange(spread.m_ownProof, aProof);
  spread.m_duty.OnOwnConfirmation(aProof);
  OnStoreWorks(aTopic);
  // Those that would read next should hear of it before they do.
  if (PassesOn(aTopic) &&
      aProof.m_at >= before.m_at + 2 * kConfirmationInterval) {
    m_loop.Defer([this] { SendBeat(); });
  }
}

const std::vector<TopicRelay>&
Gateway::RelaysSince(const std::string& aTopic, Offset aHave)
{
  const auto& reader = ReaderOf(aTopic);
  const Offset from = reader.Compacted().BatchStart(aHave);
  auto& kept = m_spreads.at(aTopic).m_relays;
  const auto found =
    std::find_if(kept.begin(), kept.end(), [&](const auto& aOne) {
      return aOne.front().m_from == from && aOne.front().m_next == reader.End();
    });
  if (found != kept.end()) {
    return *found;
  }
  auto relays =
    SplitBatch({ aTopic, from, reader.End(), reader.Compacted().Since(from) });
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
  if (!PassesOn(aTopic)) {
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
  if (!IsSentUnsolicited(relays.size())) {
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
  if (!m_relayCredit.HasCredit(BootClock::now())) {
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
  spread->second.m_duty.OnRead(reader.End());
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
Gateway::CompareEnds(TimePoint aNow,
                     const HostId& aFrom,
                     const GossipHeartbeat& aBeat)
{
  for (auto& [topic, spread] : m_spreads) {
    const auto end = aBeat.m_ends.find(topic);
    if (end != aBeat.m_ends.end()) {
      spread.m_catchUp.OnPeerEnd(aNow, aFrom.m_host, end->second);
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
    const auto wasBehind = catchUp.CheckPeers(aNow, reader.End());
    if (wasBehind && *wasBehind >= kBehindFor) {
      m_log.Write(LogLine("reader-caught-up")
                    .Add("topic", topic)
                    .Add("have", reader.End())
                    .Add("behind_ms", *wasBehind),
                  LogPriority::State);
    }
    if (!catchUp.BehindSince()) {
      continue;
    }
    m_catchUpTimer.Start(kLookEvery);
    const auto behind = aNow - *catchUp.BehindSince();
    if (behind >= kBehindFor) {
      reader.DependOnRelays();
    }
    const bool asksPeers = reader.AcceptsRelays();
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
