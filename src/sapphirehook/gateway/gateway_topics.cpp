#include "sapphirehook/gateway/gateway.hpp"

#include "sapphirehook/gateway/internal/reader_times.hpp"

#include <algorithm>
#include <utility>

// Distribution of the followed topics: which daemons read them from the store,
// what they relay, and how a daemon gets records that it has missed.

namespace sapphirehook {

using namespace internal;

namespace {

/** How long a read waits at the store for a record, on a daemon that relays
    nothing. It is short enough to detect an unresponsive connection within the
    3 s after which the users count it as reset. */
constexpr Millis kOwnReadWait{ 1000 };
/** A daemon that follows the store reads again, and accepts records from its
    peers, when it has been behind them for this long. The connection of its
    read may be unresponsive, or its link may be full. */
constexpr Millis kBehindLimit{ 300 };
/** A daemon that follows its peers reads the missing records from the store
    when it has been behind for this long, and repeats the read at this
    interval. */
constexpr Millis kStoreFallbackDelay{ 600 };
/** Time between two test reads of a daemon that follows its peers and whose
    last read from the store failed. */
constexpr Millis kPausedProbeInterval{ 2000 };
/** First and longest delay between failed reads, for daemons of a large fleet
    that are neither the leader nor among its successors. Those retry sooner and
    relay what they read. */
constexpr Millis kFirstPauseInLargeFleet{ 800 };
constexpr Millis kLongPauseInLargeFleet{ 6000 };
/** Pause after reading endpoint entries in a large fleet, which gathers changes
    because each batch goes to all daemons. It is shorter than
    kConfirmationInterval, since successors would otherwise start to read. */
constexpr Millis kGatherInLargeFleet{ 250 };

/** Batches of each topic that are cached as datagrams, for peers that request
    missing parts. */
constexpr std::size_t kMaxCachedBatches = 4;
/** Time between two checks of a daemon that is behind for records to request,
    and the shortest time between two decisions on who reads. */
constexpr Millis kCheckInterval{ 50 };

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

/** Decides for each topic whether this daemon follows the store. The leader
    reads and relays records. When the last confirmation of a topic's end grows
    old, its successors start to read, and later every daemon does. */
void
Gateway::ChooseReaders(TimePoint aNow)
{
  m_readerRole = { m_ownership.Leads(), m_ownership.ReaderIndex(aNow) };
  TimePoint next = TimePoint::max();
  for (auto& [topic, topicState] : m_topicStates) {
    const auto step = topicState.m_readSchedule.Next(aNow, m_readerRole);
    FollowOrPause(aNow, topic, step);
    next = std::min(next, step.m_nextCheckAt);
  }
  if (next != TimePoint::max()) {
    m_readersTimer.Start(
      std::max<std::chrono::nanoseconds>(next - aNow, kCheckInterval));
  }
  // Any daemon may become the leader, so it has to know whether the store
  // answers it.
  if (m_endpointReader.IsPaused() && !m_storeWorks &&
      aNow >= m_probedAt + kPausedProbeInterval) {
    m_probedAt = aNow;
    static_cast<void>(m_endpointReader.Refresh());
  }
}

ReaderTimes
Gateway::ReaderTimesFor(const std::string& aTopic) const
{
  ReaderTimes times = kTopicReaderTimes;
  const bool readsForOthers =
    m_readerRole.m_leads || m_readerRole.m_successorIndex;
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
  reader.SetTimes(ReaderTimesFor(aTopic));
  if (aStep.m_followsStore) {
    reader.Resume();
  } else {
    reader.Pause();
  }
  if (reader.IsPaused() != wasPaused) {
    const auto& readSchedule = m_topicStates.at(aTopic).m_readSchedule;
    const auto successorIndex = m_readerRole.m_successorIndex;
    m_log.Write(
      LogLine(wasPaused ? "follows-store" : "follows-peers")
        .Add("topic", aTopic)
        .Add("heir", successorIndex ? static_cast<int>(*successorIndex) : -1)
        .Add("complete_ms_ago", aNow - readSchedule.CompleteAt())
        .Add("have", reader.End())
        .Add("version", m_configVersion),
      LogPriority::State);
  }
}

/** Whether this daemon relays what it reads of a topic. */
bool
Gateway::RelaysTopic(const std::string& aTopic) const
{
  return m_ownership.Leads() ||
         (m_readerRole.m_successorIndex && !ReaderOf(aTopic).IsPaused());
}

bool
Gateway::RelaysAnyTopic() const
{
  return RelaysTopic(m_protocol.m_configTopic) ||
         RelaysTopic(m_protocol.m_endpointTopic);
}

/** Records the confirmations of topic ends that a peer got from the store. */
void
Gateway::OnPeerConfirmations(TimePoint aArrivedAt,
                             const HostId& aFrom,
                             const GossipHeartbeat& aHeartbeat)
{
  const auto ownIndex = m_readerRole.m_successorIndex;
  const auto peerIndex = m_ownership.SuccessorIndex(aFrom.m_host);
  const bool isEarlierReader =
    aHeartbeat.m_leads || (peerIndex && (!ownIndex || *peerIndex < *ownIndex));
  for (auto& [topic, topicState] : m_topicStates) {
    const auto reported = aHeartbeat.m_reportedEnds.find(topic);
    if (reported != aHeartbeat.m_reportedEnds.end()) {
      topicState.m_readSchedule.OnPeerConfirmation(
        { reported->second.Position(),
          aArrivedAt - Millis(reported->second.m_ageMs),
          {} },
        isEarlierReader,
        ReaderOf(topic).Position());
    }
  }
}

void
Gateway::OnOwnConfirmation(const std::string& aTopic,
                           const EndConfirmation& aConfirmation)
{
  auto& topicState = m_topicStates.at(aTopic);
  const EndConfirmation previous =
    std::exchange(topicState.m_ownConfirmation, aConfirmation);
  topicState.m_readSchedule.OnOwnConfirmation(aConfirmation);
  if (aTopic == m_protocol.m_endpointTopic) {
    m_liveness.OnComplete(aConfirmation.m_at);
  }
  OnStoreWorks(aTopic);
  // The next successors get the confirmation before they would start to read.
  if (RelaysTopic(aTopic) &&
      aConfirmation.m_at >= previous.m_at + 2 * kConfirmationInterval) {
    m_loop.Defer([this] { SendHeartbeat(); });
  }
}

const std::vector<TopicRelay>&
Gateway::RelaysSince(const std::string& aTopic, StorePosition aHave)
{
  const auto& reader = ReaderOf(aTopic);
  // Offsets of another era mean nothing here.
  const Offset from = aHave.m_era == reader.Era()
                        ? reader.Compacted().BatchStart(aHave.m_offset)
                        : 0;
  auto& cached = m_topicStates.at(aTopic).m_relays;
  const auto found =
    std::find_if(cached.begin(), cached.end(), [&](const auto& aOne) {
      return aOne.front().m_from == from &&
             aOne.front().End() == reader.Position();
    });
  if (found != cached.end()) {
    return *found;
  }
  auto relays = SplitBatch(
    { aTopic, from, reader.Position(), reader.Compacted().Since(from) });
  if (relays.empty()) {
    static const std::vector<TopicRelay> kNone;
    return kNone;
  }
  if (cached.size() >= kMaxCachedBatches) {
    cached.pop_front();
  }
  return cached.emplace_back(std::move(relays));
}

void
Gateway::RelayRecords(const std::string& aTopic, Offset aFrom)
{
  const TimePoint now = BootClock::now();
  if (!RelaysTopic(aTopic)) {
    return;
  }
  const auto& relays = RelaysSince(aTopic, { ReaderOf(aTopic).Era(), aFrom });
  m_log.Write(LogLine("records-passed-on")
                .Add("topic", aTopic)
                .Add("from_offset", aFrom)
                .Add("next_offset", ReaderOf(aTopic).End())
                .Add("era", ReaderOf(aTopic).Era())
                .Add("datagrams", relays.size()));
  // Peers request larger batches themselves. Only the leader gets heartbeats of
  // all daemons often enough to know which are alive.
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
  if (!m_topicStates.contains(aRequest.m_topic)) {
    return; // a topic of another version of the daemon
  }
  const auto& reader = ReaderOf(aRequest.m_topic);
  if (!reader.IsCurrent() || reader.Position() <= aRequest.Have()) {
    return; // no newer records here; the peer then asks another daemon
  }
  if (!m_relayCredit.HasCredit(BootClock::now())) {
    WriteRateLimited(aRequest.m_topic,
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
  const auto& cached = m_topicStates.at(aRequest.m_topic).m_relays;
  const auto begun =
    std::find_if(cached.begin(), cached.end(), [&](const auto& aOne) {
      return aOne.front().m_from <= aRequest.m_have &&
             aOne.front().End() ==
               StorePosition{ aRequest.m_era, aRequest.m_next };
    });
  if (aRequest.m_missing.empty() || begun == cached.end()) {
    const auto& relays = RelaysSince(aRequest.m_topic, aRequest.Have());
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
  const auto topicState = m_topicStates.find(aRelay.m_topic);
  if (topicState == m_topicStates.end()) {
    return; // a topic of another version of the daemon
  }
  auto& reader = ReaderOf(aRelay.m_topic);
  OnStoreEra(aRelay.m_era);
  if (aRelay.m_era < reader.Era()) {
    WriteRateLimited(aRelay.m_topic,
                     LogLine("relay-refused")
                       .Add("topic", aRelay.m_topic)
                       .Add("why", RelayOutcomeName(RelayOutcome::EarlierEra))
                       .Add("era", reader.Era())
                       .Add("sender_era", aRelay.m_era)
                       .Add("sender", aFrom.m_host));
    return;
  }
  const auto batch =
    topicState->second.m_catchUp.OnPart(BootClock::now(), aFrom.m_host, aRelay);
  if (!batch) {
    return;
  }
  const Offset have = reader.End();
  m_recordSource = aFrom.m_host;
  const auto outcome =
    reader.Accept(batch->m_from, batch->m_next, batch->m_records);
  m_recordSource = "store";
  topicState->second.m_readSchedule.OnRead(reader.Position());
  if (outcome != RelayOutcome::Taken && outcome != RelayOutcome::Known) {
    WriteRateLimited(batch->m_topic,
                     LogLine("relay-refused")
                       .Add("topic", batch->m_topic)
                       .Add("why", RelayOutcomeName(outcome))
                       .Add("have", have)
                       .Add("from_offset", batch->m_from)
                       .Add("next_offset", batch->m_next.m_offset)
                       .Add("sender", aFrom.m_host));
  }
}

void
Gateway::CompareEnds(TimePoint aNow,
                     const HostId& aFrom,
                     const GossipHeartbeat& aHeartbeat)
{
  for (auto& [topic, topicState] : m_topicStates) {
    if (const auto end = aHeartbeat.PositionOf(topic)) {
      topicState.m_catchUp.OnPeerEnd(aNow, aFrom.m_host, *end);
    }
  }
  CatchUp(aNow);
}

/** Requests the records that this daemon has missed: from the peers if it
    depends on them, and from the store if it is still behind after that. */
void
Gateway::CatchUp(TimePoint aNow)
{
  for (auto& [topic, topicState] : m_topicStates) {
    auto& reader = ReaderOf(topic);
    auto& catchUp = topicState.m_catchUp;
    const auto wasBehind = catchUp.CheckPeers(aNow, reader.Position());
    if (wasBehind && *wasBehind >= kBehindLimit) {
      m_log.Write(LogLine("reader-caught-up")
                    .Add("topic", topic)
                    .Add("have", reader.End())
                    .Add("behind_ms", *wasBehind),
                  LogPriority::State);
    }
    if (!catchUp.BehindSince()) {
      continue;
    }
    m_catchUpTimer.Start(kCheckInterval);
    const auto behind = aNow - *catchUp.BehindSince();
    if (behind >= kBehindLimit) {
      reader.DependOnRelays();
    }
    const bool asksPeers = reader.AcceptsRelays();
    if (asksPeers) {
      if (const auto step = catchUp.Next(aNow, reader.Position())) {
        m_gossip.SendTo(step->m_peer, step->m_request);
        WriteRateLimited(
          topic,
          LogLine("records-asked-for")
            .Add("topic", topic)
            .Add("peer", step->m_peer)
            .Add("have", reader.End())
            .Add("peer_has", catchUp.KnownEnd().m_offset)
            .Add("missing_parts", step->m_request.m_missing.size()));
      }
    }
    const auto every = reader.IsPaused() ? kStoreFallbackDelay : kBehindLimit;
    const bool due =
      behind >= every && aNow >= topicState.m_refreshedAt + every;
    if (due && reader.IsCaughtUp() && reader.Refresh(catchUp.KnownEnd())) {
      topicState.m_refreshedAt = aNow;
      WriteRateLimited(topic,
                       LogLine("reader-behind")
                         .Add("topic", topic)
                         .Add("have", reader.End())
                         .Add("peer_has", catchUp.KnownEnd().m_offset)
                         .Add("era", reader.Era())
                         .Add("behind_ms", behind));
    }
  }
}

} // namespace sapphirehook
