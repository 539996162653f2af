#include "sapphirehook/gateway/gateway.hpp"

#include "sapphirehook/core/text.hpp"
#include "sapphirehook/gateway/internal/reader_times.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

using namespace internal;

namespace {

/** Time between two beats to the peers, and how late one tells that the daemon
    did not run. */
constexpr Millis kBeatEvery{ 150 };
constexpr Millis kPaused{ 300 };
/** Changes of the configuration are in force within this time of their
    acknowledgement (the users' config-apply-ms). */
constexpr Millis kChangesInForceWithin{ 2000 };
/** An entry that may have lapsed counts as removed this long before a leaving
    endpoint must get no more work, which covers the way to the endpoint, and
    what the word of other daemons is older than it seems. */
constexpr Millis kDrainMargin{ 400 };
/** Entries lapse after three heartbeats; the last one may have been just due
    when an outage began. */
constexpr int kHeartbeatsToLapse = 2;
/** The list of endpoints is read anew at most this often, to tell whether one
    that refuses connections is leaving. */
constexpr Millis kProbeEvery{ 200 };
/** Times of day of two hosts differ by less than this; they may jump by
 * seconds.
 */
constexpr Millis kClocksDiffer{ 60'000 };
/** Removed endpoints are forgotten after this. */
constexpr Millis kForgetAfter{ 60'000 };
/** After the signal to stop, the balancer sends new connections for up to two
    of its questions, one second apart. */
constexpr Millis kLeaveRotation{ 2400 };
constexpr Millis kStopTick{ 100 };
/** Grants that a leader sends in one round, by its part of a core; each costs
   it about 0.1 ms. */
constexpr double kGrantsOfWholeCore = 200.0;
constexpr std::size_t kLeastGrants = 8;
/** Part of a leader's link that the maps other daemons ask for may take. */
constexpr double kMapPart = 0.25;
/** Part of a link that goes to peers that ask for records, and the time for
    which that is saved up. */
constexpr double kRelayPart = 0.25;
constexpr std::chrono::duration<double> kMostRelayCredit{ 0.25 };
constexpr double kMegabit = 1e6; // bits
constexpr double kByteBits = 8.0;
/** Time before the end of the grace at which the process ends by itself. */
constexpr Millis kStopMargin{ 300 };

/** A line that may repeat for as long as a trouble lasts is written this often
    at most. */
constexpr Millis kSparseEvery{ 1000 };

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

std::uint64_t
NewIncarnation()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

/** Whether a run of an endpoint is said to start later than clocks that differ
    explain. */
bool
StartsInFuture(const EndpointIncarnation& aLife)
{
  const auto now = std::chrono::duration_cast<Millis>(
    std::chrono::system_clock::now().time_since_epoch());
  return Millis(aLife.m_startedAt) > now + kClocksDiffer;
}

OwnershipSettings
OwnershipSettingsOf(const GatewaySettings& aSettings)
{
  OwnershipSettings settings;
  settings.m_store = ToSocketAddress(aSettings.m_store);
  settings.m_processorShare = aSettings.m_processorShare;
  settings.m_keeper.m_leaseDuration =
    std::min(settings.m_keeper.m_leaseDuration, aSettings.m_maxHold);
  settings.m_keeper.m_grantsPerRound = std::clamp(
    static_cast<std::size_t>(kGrantsOfWholeCore * aSettings.m_processorShare),
    kLeastGrants,
    settings.m_keeper.m_grantsPerRound);
  settings.m_leadership.m_leaseDuration = settings.m_keeper.m_leaseDuration;
  settings.m_mapBytesPerSecond =
    kMapPart * aSettings.m_linkMbps * kMegabit / kByteBits;
  return settings;
}

} // namespace

Gateway::Gateway(GatewaySettings aSettings, GatewayProtocol aProtocol)
  : m_settings(std::move(aSettings))
  , m_protocol(std::move(aProtocol))
  , m_log(m_settings.m_host)
  , m_directory(m_settings.m_drain - kDrainMargin)
  , m_engine(m_loop,
             m_protocol,
             m_log,
             { m_settings.m_zone,
               m_settings.m_retryBudget,
               static_cast<std::uint32_t>(StableHash(m_settings.m_host)) })
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
                m_directory)
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
                                m_protocol.m_mostEndpointBytes))
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
  , m_beatTimer(m_loop, [this] { OnTick(); })
  , m_stopTimer(m_loop, [this] { OnStopTick(); })
  , m_directoryTimer(m_loop, [this] { OnEndpointsChanged(); })
  , m_catchUpTimer(m_loop, [this] { CatchUp(BootClock::now()); })
  , m_readersTimer(m_loop, [this] { ChooseReaders(BootClock::now()); })
  , m_arrivals(BootClock::now(), kPaused)
  , m_outages(m_settings.m_endpointHeartbeat * kHeartbeatsToLapse)
  , m_relayCredit(kRelayPart * m_settings.m_linkMbps * kMegabit / kByteBits,
                  kMostRelayCredit)
{
  for (const auto& topic :
       { m_protocol.m_configTopic, m_protocol.m_endpointTopic }) {
    m_spreads.emplace(topic,
                      TopicSpread{ TopicCatchUp(topic), {}, {}, {}, {} });
  }
  m_ownership.m_onLeads = [this] { SendBeat(); };
  m_ownership.m_onStoreTrouble = [this](StoreAnswer aAnswer) {
    OnStoreTrouble("claim", aAnswer);
  };
  m_ownership.m_listReadAt = [this](TimePoint aWanted) {
    return EndpointsReadAt(aWanted);
  };
  m_engine.m_mayLackRoutes = [this] {
    const auto& duty = m_spreads.at(m_protocol.m_configTopic).m_duty;
    return BootClock::now() >= duty.CompleteAt() + kChangesInForceWithin;
  };
  m_engine.m_onMisdirected = [this](const std::string& aService, Key aKey) {
    m_ownership.OnMisdirected(aService, aKey);
  };
}

TopicReader
Gateway::MakeReader(const std::string& aTopic,
                    void (Gateway::*aOnRecord)(const KeyedRecord&),
                    std::size_t aMostValue)
{
  TopicEvents events;
  events.m_onRecord = [this, aOnRecord](const KeyedRecord& aRecord) {
    (this->*aOnRecord)(aRecord);
  };
  events.m_onBatch =
    [this, aTopic](Offset aFrom, Offset, const std::vector<KeyedRecord>&) {
      RelayRecords(aTopic, aFrom);
    };
  events.m_onCaughtUp = [this, aTopic](const EndConfirmation& aProof) {
    OnOwnConfirmation(aTopic, aProof);
  };
  events.m_onFailure = [this, aTopic](const ReadFailure& aTrouble) {
    OnReadTrouble(aTopic, aTrouble);
  };
  events.m_onUnreadable = [this, aTopic](std::size_t aRecords) {
    WriteSparsely(aTopic,
                  LogLine("records-unreadable")
                    .Add("topic", aTopic)
                    .Add("records", aRecords));
  };
  return { m_loop,
           m_protocol.m_store,
           ToSocketAddress(m_settings.m_store),
           aTopic,
           kReads,
           std::move(events),
           aMostValue };
}

absl::Status
Gateway::Open()
{
  const auto failed = [](std::string_view aWhat) {
    return absl::UnavailableError(std::string("cannot listen for ") +
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
  m_beatTimer.StartEvery(kBeatEvery);
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

/** A daemon that starts in a large fleet is told of records by the leader, once
    it has heard from it. */
void
Gateway::OnHostFound()
{
  if (!m_ownership.Leader(BootClock::now())) {
    m_fleet.OnRegisteredCount(m_gossip.Peers().size() + 1);
  }
}

void
Gateway::OnConfig(const KeyedRecord& aRecord)
{
  if (aRecord.m_key != m_protocol.m_configKey || !aRecord.m_value) {
    return;
  }
  auto config = m_protocol.m_parseConfig(*aRecord.m_value);
  if (!config.ok()) {
    m_log.Write(LogLine("configuration-rejected")
                  .Add("offset", aRecord.m_offset)
                  .Add("why", std::string(config.status().message())),
                LogPriority::State);
    return;
  }
  if (config->m_version < m_configVersion) {
    return; // read again from an older page
  }
  if (config->m_version > m_configVersion || m_engine.Routes() == nullptr) {
    m_configVersion = config->m_version;
    m_versions.Add(BootClock::now(), m_configVersion);
    m_log.Write(LogLine("configuration-in-force")
                  .Add("version", config->m_version)
                  .Add("offset", aRecord.m_offset)
                  .Add("routes", config->m_routes.size())
                  .Add("bytes", aRecord.m_value->size())
                  .Add("from", m_recordsFrom),
                LogPriority::State);
    m_engine.SetRoutes(std::make_shared<const RouteTable>(*std::move(config)));
    m_ownership.OnChange();
  }
}

void
Gateway::OnEndpoint(const KeyedRecord& aRecord)
{
  const TimePoint now = BootClock::now();
  if (!aRecord.m_value) {
    // What this daemon knew was complete then, so that the removal is later.
    const TimePoint knownAt =
      m_spreads.at(m_protocol.m_endpointTopic).m_duty.CompleteAt();
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
      // Another writer's: no later entry of the endpoint's own would count.
      record = absl::InvalidArgumentError("its run starts in the future");
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
    m_directory.OnRecord(now, *std::move(record));
  }
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
  m_directory.Forget(now, kForgetAfter);
  m_engine.SetEndpoints(now, m_directory);
  m_ownership.OnChange();
  m_engine.Pump();
  TimePoint next = TimePoint::max();
  for (const auto& [name, known] : m_directory.All()) {
    if (known.m_removedAt && now < known.m_removalEffectiveAt) {
      next = std::min(next, known.m_removalEffectiveAt);
    }
  }
  if (next != TimePoint::max()) {
    m_directoryTimer.Start(next - now);
  }
}

TimePoint
Gateway::EndpointsReadAt(TimePoint aWanted)
{
  const TimePoint readAt =
    m_spreads.at(m_protocol.m_endpointTopic).m_ownProof.m_askedAt;
  const TimePoint now = BootClock::now();
  if (readAt < aWanted && now >= m_probedAt + kProbeEvery) {
    m_probedAt = now;
    m_endpointReader.Probe();
  }
  return readAt;
}

void
Gateway::WriteSparsely(const std::string& aTopic, const LogLine& aLine)
{
  const TimePoint now = BootClock::now();
  auto& written = m_writtenAt[std::string(aLine.Event()) + ' ' + aTopic];
  if (written == TimePoint{} || now >= written + kSparseEvery) {
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
  m_engine.BeginStop();
  SendBeat();
  m_stopTimer.StartEvery(kStopTick);
}

void
Gateway::OnStopTick()
{
  const auto passed = BootClock::now() - m_stopBegan;
  if (passed < kLeaveRotation) {
    return;
  }
  m_callers.Close();
  m_engine.CloseIdleCallers();
  const bool idle = m_engine.Unanswered() == 0 && !m_ownership.Leads();
  if (idle || passed >= m_settings.m_stopGrace - kStopMargin) {
    m_ownership.Resign();
    m_loop.Stop();
  }
}

} // namespace sapphirehook
