#include "sapphirehook/gateway/gateway.hpp"

#include "sapphirehook/core/text.hpp"
#include "sapphirehook/gateway/internal/entry_lapse.hpp"
#include "sapphirehook/gateway/internal/reader_times.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace sapphirehook {

using namespace internal;

namespace {

/** Time between two heartbeats to the peers. */
constexpr Millis kHeartbeatInterval{ 150 };
/** A heartbeat tick that is this late means that the daemon did not run. */
constexpr Millis kPauseThreshold{ 300 };
/** Time from the acknowledgement of a configuration change until the change is
    in force on every daemon (the users' config-apply-ms). */
constexpr Millis kConfigApplyLimit{ 2000 };
/** An entry that may have lapsed counts as removed this long before the time
    limit after which a leaving endpoint gets no more work. The margin covers
    the network delay to the endpoint and the age that reports of other daemons
    have beyond what they state. */
constexpr Millis kDrainMargin{ 400 };
/** Heartbeat intervals that an outage has to span before an entry may have
    lapsed. Entries lapse after three missed heartbeats, and the first of them
    may have been due just when the outage began. */
constexpr int kHeartbeatsToLapse = 2;
/** Upper limit of the difference between the wall clocks of two hosts, which
    may jump by seconds. */
constexpr Millis kMaxClockDifference{ 60'000 };
/** Time for which the directory keeps removed endpoints. */
constexpr Millis kForgetAfter{ 60'000 };
/** Time until the balancer has removed a stopping daemon: it sends new
    connections until its second failed readiness check, and its checks are one
    second apart. */
constexpr Millis kBalancerRemovalTime{ 2400 };
constexpr Millis kStopTick{ 100 };
/** Time from the start after which a daemon acts without the list of hosts. The
    store processes the registrations of a fleet one after the other: 300 take
    1.2 s. */
constexpr Millis kMaxHostListWait{ 2000 };
/** Grants that a leader with a whole core sends in one round; the limit is
    proportional to its share of a core. Each grant takes about 0.1 ms of
    processor time. */
constexpr double kGrantsPerCore = 200.0;
constexpr std::size_t kMinGrants = 8;
/** Share of a leader's link for the route maps that other daemons request. */
constexpr double kMapLinkShare = 0.25;
/** Share of a link for the records that peers request. */
constexpr double kRelayLinkShare = 0.25;
/** Time over which unused bandwidth for requested records accumulates. */
constexpr std::chrono::duration<double> kMaxRelayCreditTime{ 0.25 };
constexpr double kMegabit = 1e6;  // bits
constexpr double kMegabyte = 1e6; // bytes
/** Share of the host's memory for bytes that are buffered for slow peers. The
    process itself takes up to 12 MB, and the kernel's socket buffers count
    too. */
constexpr double kBufferMemoryShare = 0.35;
/** Assumed memory of a host whose settings do not state it. */
constexpr double kDefaultMemoryMb = 120.0;
constexpr double kByteBits = 8.0;
/** The process exits by itself this long before the stop grace period ends. */
constexpr Millis kStopMargin{ 300 };

/** Shortest time between two log lines about the same continuing failure. */
constexpr Millis kRepeatedLineInterval{ 1000 };

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

/** Returns a number that no other incarnation on this host has. The clock may
    show a time twice, so the number also has a random part. */
std::uint64_t
NewIncarnation()
{
  const auto startedAt = std::chrono::duration_cast<Millis>(
    std::chrono::system_clock::now().time_since_epoch());
  std::random_device random;
  return MakeIncarnation(startedAt, random());
}

/** Whether an incarnation's start time is further in the future than a
    difference between clocks explains. */
bool
StartsInFuture(const EndpointIncarnation& aIncarnation)
{
  const auto now = std::chrono::duration_cast<Millis>(
    std::chrono::system_clock::now().time_since_epoch());
  return Millis(aIncarnation.m_startedAt) > now + kMaxClockDifference;
}

/** Returns the limit of the bytes that are buffered for slow peers. */
std::size_t
BufferBytes(const GatewaySettings& aSettings)
{
  const double megabytes =
    aSettings.m_memoryMb > 0.0 ? aSettings.m_memoryMb : kDefaultMemoryMb;
  return static_cast<std::size_t>(kBufferMemoryShare * megabytes * kMegabyte);
}

OwnershipSettings
OwnershipSettingsOf(const GatewaySettings& aSettings)
{
  OwnershipSettings settings;
  settings.m_fleetHasRun = aSettings.m_fleetHasRun;
  settings.m_store = ToSocketAddress(aSettings.m_store);
  settings.m_processorShare = aSettings.m_processorShare;
  settings.m_rangeManager.m_leaseDuration = std::min(
    settings.m_rangeManager.m_leaseDuration, aSettings.m_maxLeaseDuration);
  settings.m_rangeManager.m_grantsPerRound = std::clamp(
    static_cast<std::size_t>(kGrantsPerCore * aSettings.m_processorShare),
    kMinGrants,
    settings.m_rangeManager.m_grantsPerRound);
  settings.m_evacuation = aSettings.m_evacuation;
  settings.m_leadership.m_leaseDuration =
    settings.m_rangeManager.m_leaseDuration;
  settings.m_mapBytesPerSecond =
    kMapLinkShare * aSettings.m_linkMbps * kMegabit / kByteBits;
  return settings;
}

} // namespace

Gateway::Gateway(GatewaySettings aSettings, GatewayProtocol aProtocol)
  : m_settings(std::move(aSettings))
  , m_protocol(std::move(aProtocol))
  , m_log(m_settings.m_host)
  , m_directory(m_settings.m_drain - kDrainMargin)
  , m_liveness(
      m_directory,
      { m_settings.m_addressReuse, EntryLapse(m_settings.m_endpointHeartbeat) })
  , m_engine(m_loop,
             m_protocol,
             m_log,
             { m_settings.m_zone,
               m_settings.m_retryBudget,
               static_cast<std::uint32_t>(StableHash(m_settings.m_host)),
               BufferBytes(m_settings),
               m_settings.m_host,
               m_settings.m_warmUpOverrun,
               m_settings.m_warmUpSlack,
               m_settings.m_evacuation,
               m_settings.m_linkMbps })
  , m_gossip(m_loop,
             { m_settings.m_host, NewIncarnation() },
             [this](const HostId& aFrom, const GossipMessage& aMessage) {
               OnMessage(aFrom, aMessage);
             })
  , m_ownership(m_loop,
                m_protocol,
                m_log,
                OwnershipSettingsOf(m_settings),
                m_gossip,
                m_engine,
                m_directory,
                m_liveness)
  , m_registry(m_loop,
               m_protocol.m_store,
               ToSocketAddress(m_settings.m_store),
               m_settings.m_host,
               { m_settings.m_advertisedPeers, m_settings.m_processorShare },
               [this](const std::string& aHost, const HostEntry& aEntry) {
                 m_gossip.AddPeer(aHost, ToSocketAddress(aEntry.m_peers));
                 m_ownership.OnHost(aHost, aEntry.m_processorShare);
                 OnHostFound();
               })
  , m_configReader(MakeReader(m_protocol.m_configTopic,
                              &Gateway::OnConfig,
                              TopicReader::kNoValueLimit))
  , m_endpointReader(MakeReader(m_protocol.m_endpointTopic,
                                &Gateway::OnEndpoint,
                                m_protocol.m_maxEndpointBytes))
  , m_callers(m_loop, [this](int aSocket) { m_engine.AcceptCaller(aSocket); })
  , m_ready(m_loop,
            [this](const HttpExchangePtr& aExchange) {
              const bool ready =
                aExchange->m_head.m_target == m_protocol.m_readyPath &&
                IsReady();
              aExchange->Answer({ ready ? kOk : kUnavailable,
                                  "text/plain",
                                  ready ? "ready" : "not ready" });
            })
  , m_metrics(m_loop,
              [this](const HttpExchangePtr& aExchange) {
                aExchange->Answer({ kOk, "text/plain", Metrics() });
              })
  , m_heartbeatTimer(m_loop, [this] { OnTick(); })
  , m_stopTimer(m_loop, [this] { OnStopTick(); })
  , m_directoryTimer(m_loop, [this] { OnEndpointsChanged(); })
  , m_catchUpTimer(m_loop, [this] { CatchUp(BootClock::now()); })
  , m_readersTimer(m_loop, [this] { ChooseReaders(BootClock::now()); })
  , m_arrivals(BootClock::now(), kPauseThreshold)
  , m_outages(m_settings.m_endpointHeartbeat * kHeartbeatsToLapse)
  , m_relayCredit(kRelayLinkShare * m_settings.m_linkMbps * kMegabit /
                    kByteBits,
                  kMaxRelayCreditTime)
{
  for (const auto& topic :
       { m_protocol.m_configTopic, m_protocol.m_endpointTopic }) {
    m_topicStates.emplace(topic,
                          TopicState{ TopicCatchUp(topic), {}, {}, {}, {} });
  }
  m_ownership.m_onLeadershipGained = [this] { SendHeartbeat(); };
  m_ownership.m_onEra = [this](StoreEra aEra) { OnStoreEra(aEra); };
  m_ownership.m_onStoreFailure = [this](StoreAnswer aAnswer) {
    OnStoreFailure("claim", aAnswer);
  };
  m_ownership.m_knowsHosts = [this] {
    return m_registry.IsListed() ||
           BootClock::now() >= m_startedAt + kMaxHostListWait;
  };
  m_engine.m_routesMayBeStale = [this] {
    const auto& readSchedule =
      m_topicStates.at(m_protocol.m_configTopic).m_readSchedule;
    return BootClock::now() >= readSchedule.CompleteAt() + kConfigApplyLimit;
  };
  m_engine.m_onEndpointAnswered = [this](const std::string& aEndpoint,
                                         const sockaddr_in& aAddress,
                                         TimePoint aSentAt) {
    m_liveness.OnAlive(aEndpoint, aAddress, aSentAt);
  };
  m_engine.m_onMisdirected = [this](const std::string& aService, Key aKey) {
    m_ownership.OnMisdirected(aService, aKey);
  };
}

TopicReader
Gateway::MakeReader(const std::string& aTopic,
                    void (Gateway::*aOnRecord)(const KeyedRecord&),
                    std::size_t aMaxBytes)
{
  TopicEvents events;
  events.m_onRecord = [this, aOnRecord](const KeyedRecord& aRecord) {
    (this->*aOnRecord)(aRecord);
  };
  events.m_onBatch =
    [this, aTopic](Offset aFrom, Offset, const std::vector<KeyedRecord>&) {
      RelayRecords(aTopic, aFrom);
    };
  events.m_onCaughtUp = [this, aTopic](const EndConfirmation& aConfirmation) {
    OnOwnConfirmation(aTopic, aConfirmation);
  };
  events.m_onFailure = [this, aTopic](const ReadFailure& aFailure) {
    OnReadFailure(aTopic, aFailure);
  };
  events.m_onEra = [this](StoreEra aEra) { OnStoreEra(aEra); };
  events.m_onUnreadable = [this, aTopic](std::size_t aRecords) {
    WriteRateLimited(aTopic,
                     LogLine("records-unreadable")
                       .Add("topic", aTopic)
                       .Add("records", aRecords));
  };
  return { m_loop,   m_protocol.m_store, ToSocketAddress(m_settings.m_store),
           aTopic,   kTopicReaderTimes,  std::move(events),
           aMaxBytes };
}

absl::Status
Gateway::Open()
{
  const auto failed = [](std::string_view aWhat) {
    return absl::UnavailableError(
      std::string("cannot open the listening socket for ") +
      std::string(aWhat));
  };
  if (!m_callers.Listen(ToSocketAddress(m_settings.m_callers))) {
    return failed("callers");
  }
  if (!m_ready.Listen(ToSocketAddress(m_settings.m_ready))) {
    return failed("the balancer");
  }
  if (!m_metrics.Listen(ToSocketAddress(m_settings.m_metrics))) {
    return failed("metrics");
  }
  if (!m_gossip.Bind(ToSocketAddress(m_settings.m_peers))) {
    return failed("peers");
  }
  return absl::OkStatus();
}

void
Gateway::Run()
{
  m_log.Write(LogLine("started")
                .Add("version", SAPPHIREHOOK_VERSION)
                .Add("zone", m_settings.m_zone)
                .Add("incarnation", m_gossip.Self().m_incarnation),
              LogPriority::State);
  m_registry.Start(m_settings.m_firstStart);
  m_configReader.Start();
  m_endpointReader.Start();
  m_heartbeatTimer.StartEvery(kHeartbeatInterval);
  m_loop.Run();
  m_log.Write(LogLine("stopped"), LogPriority::State);
  m_log.Flush();
}

bool
Gateway::IsReady() const
{
  return !m_stopping && m_engine.Routes() != nullptr &&
         m_endpointReader.IsCaughtUp() && m_ownership.KnowsMaps();
}

/** Estimates the fleet size from the host registry until a heartbeat of the
    leader arrives. A daemon that starts in a large fleet then gets the records
    from the leader. */
void
Gateway::OnHostFound()
{
  if (!m_ownership.Leader(BootClock::now())) {
    m_fleet.OnRegisteredCount(m_gossip.Peers().size() + 1);
  }
}

void
Gateway::OnEndpoint(const KeyedRecord& aRecord)
{
  const TimePoint now = BootClock::now();
  if (!aRecord.m_value) {
    // The endpoint list was complete at that time, so the removal came later.
    const TimePoint knownAt =
      m_topicStates.at(m_protocol.m_endpointTopic).m_readSchedule.CompleteAt();
    const bool lapsed = m_outages.MayHaveLapsed(now);
    const TimePoint lapsedAt = std::max(knownAt, m_outages.EndedAt(now));
    m_log.Write(LogLine("endpoint-removed")
                  .Add("endpoint", aRecord.m_key)
                  .Add("offset", aRecord.m_offset)
                  .Add("may_have_lapsed", lapsed ? 1 : 0)
                  .Add("known_ms_ago", now - knownAt));
    m_directory.OnRemoved(
      now, aRecord.m_key, lapsed ? std::optional(lapsedAt) : std::nullopt);
  } else {
    auto record = m_protocol.m_parseEndpoint(aRecord.m_key, *aRecord.m_value);
    if (record.ok() && StartsInFuture(record->m_incarnation)) {
      // Such an entry comes from another writer. If it were accepted, the
      // directory would ignore all later entries of the endpoint itself.
      record = absl::InvalidArgumentError(
        "start time of the incarnation is in the future");
    }
    if (!record.ok()) {
      m_log.Write(LogLine("endpoint-entry-rejected")
                    .Add("offset", aRecord.m_offset)
                    .Add("why", std::string(record.status().message())));
      return;
    }
    m_log.Write(LogLine("endpoint-entry")
                  .Add("endpoint", aRecord.m_key)
                  .Add("service", record->m_service)
                  .Add("started_at", record->m_incarnation.m_startedAt)
                  .Add("draining", record->m_draining ? 1 : 0)
                  .Add("offset", aRecord.m_offset),
                LogPriority::Routine);
    m_directory.OnRecord(
      now, *std::move(record), RestoredEntryUntil(aRecord.m_offset));
    const auto* known = m_directory.Find(aRecord.m_key);
    if (known != nullptr && known->m_coldSince == now) {
      m_log.Write(LogLine("endpoint-cold")
                    .Add("endpoint", aRecord.m_key)
                    .Add("service", known->m_record.m_service)
                    .Add("left_ms", known->m_record.m_warmUpLeft)
                    .Add("offset", aRecord.m_offset));
    }
  }
  QueueEndpointsChanged();
}

void
Gateway::QueueEndpointsChanged()
{
  if (!m_endpointsQueued) {
    m_endpointsQueued = true;
    m_loop.Defer([this] { OnEndpointsChanged(); });
  }
}

void
Gateway::OnEndpointsChanged()
{
  m_endpointsQueued = false;
  const TimePoint now = BootClock::now();
  m_directory.ConfirmListed(now);
  m_directory.Forget(now, kForgetAfter);
  m_liveness.Forget(now);
  m_engine.SetEndpoints(now, m_directory);
  m_ownership.OnChange();
  m_engine.ProcessQueues();
  TimePoint next = TimePoint::max();
  for (const auto& [name, known] : m_directory.All()) {
    if (known.m_removedAt && now < known.m_removalEffectiveAt) {
      next = std::min(next, known.m_removalEffectiveAt);
    }
    if (known.m_confirmedAt) {
      next = std::min(next, *known.m_confirmedAt);
    }
  }
  if (next != TimePoint::max()) {
    m_directoryTimer.Start(next - now);
  }
}

void
Gateway::WriteRateLimited(const std::string& aTopic, const LogLine& aLine)
{
  const TimePoint now = BootClock::now();
  auto& written = m_writtenAt[std::string(aLine.Event()) + ' ' + aTopic];
  if (written == TimePoint{} || now >= written + kRepeatedLineInterval) {
    written = now;
    m_log.Write(aLine);
  }
}

void
Gateway::Reload(const absl::StatusOr<GatewaySettings>& aSettings)
{
  if (!aSettings.ok()) {
    m_log.Write(LogLine("settings-rejected")
                  .Add("why", std::string(aSettings.status().message())));
    return;
  }
  m_settings.m_stopGrace = aSettings->m_stopGrace;
  m_settings.m_retryBudget = aSettings->m_retryBudget;
  m_engine.SetBudget(aSettings->m_retryBudget);
  m_log.Write(LogLine("settings-reloaded")
                .Add("wait_for_restart",
                     Join(ChangedForRestart(m_settings, *aSettings), " ")));
}

void
Gateway::Stop()
{
  if (m_stopping) {
    return;
  }
  m_stopping = true;
  m_stopBegan = BootClock::now();
  m_log.Write(LogLine("stopping").Add("unanswered", m_engine.Unanswered()),
              LogPriority::State);
  m_ownership.BeginStop();
  m_engine.BeginStop(m_stopBegan + kBalancerRemovalTime,
                     m_stopBegan + m_settings.m_stopGrace - kStopMargin);
  SendHeartbeat();
  m_stopTimer.StartEvery(kStopTick);
}

void
Gateway::OnStopTick()
{
  const auto passed = BootClock::now() - m_stopBegan;
  if (passed < kBalancerRemovalTime) {
    return;
  }
  m_callers.AcceptPending(); // closing the socket would reset them
  m_callers.Close();
  m_engine.CloseIdleCallers();
  const bool idle = m_engine.Unanswered() == 0 && !m_ownership.Leads();
  if (idle || passed >= m_settings.m_stopGrace - kStopMargin) {
    m_ownership.Resign();
    m_loop.Stop();
  }
}

} // namespace sapphirehook
