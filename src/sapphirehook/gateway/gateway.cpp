#include "sapphirehook/gateway/gateway.hpp"

#include <utility>

namespace sapphirehook {

namespace {

/** Time between two beats to the peers. */
constexpr Millis kBeatEvery{ 150 };
/** How long a read of the followed topics waits for a record, and the pause
    after records that gathers those that follow. Changes must be in force
    within 2 s. */
constexpr ReaderTimes kReads{ Millis(8000), Millis(60) };
/** The same for the leader, which finds a silent connection sooner. */
constexpr ReaderTimes kLeaderReads{ Millis(2000), Millis(60) };
/** Up to this many daemons each one tells all others of itself; beyond, all
    tell the leader, which keeps the number of messages linear. */
constexpr std::size_t kSmallFleet = 16;
/** Pause after records in a large fleet, where each change is a call for each
    daemon. */
constexpr Millis kGatherInLargeFleet{ 400 };
/** Largest record, in bytes, that is passed on in a datagram. */
constexpr std::size_t kMaxRelayed = 1100;
/** While the leader does not reach the store, the others make a call this
    often to see whether they do. */
constexpr Millis kProbeAfter{ 1000 };
/** A daemon this long behind its peers in a topic reads anew. */
constexpr Millis kBehindFor{ 300 };
/** An entry that may have lapsed counts as removed this long before a leaving
    endpoint must get no more work, which covers the way to the endpoint. */
constexpr Millis kDrainMargin{ 400 };
/** Removals within this time after trouble with the store may be lapses. */
constexpr Millis kLapseWindow{ 2500 };
/** Removed endpoints are forgotten after this. */
constexpr Millis kForgetAfter{ 60'000 };
/** After the signal to stop, the balancer sends new connections for up to two
    of its questions, one second apart. */
constexpr Millis kLeaveRotation{ 2400 };
constexpr Millis kStopTick{ 100 };
/** Time before the end of the grace at which the process ends by itself. */
constexpr Millis kStopMargin{ 300 };

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

OwnershipSettings
OwnershipSettingsOf(const GatewaySettings& aSettings)
{
  OwnershipSettings settings;
  settings.m_store = ToSocketAddress(aSettings.m_store);
  settings.m_keeper.m_hold =
    std::min(settings.m_keeper.m_hold, aSettings.m_maxHold);
  settings.m_leadership.m_hold = settings.m_keeper.m_hold;
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
             { m_settings.m_zone, m_settings.m_retryBudget })
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
               m_settings.m_peers.m_host + ":" +
                 std::to_string(m_settings.m_peers.m_port),
               [this](const std::string& aHost, const sockaddr_in& aAddress) {
                 m_gossip.AddPeer(aHost, aAddress);
               })
  , m_configReader(m_loop,
                   m_protocol.m_store,
                   ToSocketAddress(m_settings.m_store),
                   m_protocol.m_configTopic,
                   kReads,
                   TopicEvents{ [this](const KeyedRecord& aRecord) {
                                 RelayRecord(m_protocol.m_configTopic, aRecord);
                                 OnConfig(aRecord);
                               },
                                [this](Offset, TimePoint) {
                                  OnStoreWorks(m_protocol.m_configTopic);
                                },
                                [this](StoreAnswer aAnswer) {
                                  OnStoreTrouble(m_protocol.m_configTopic,
                                                 aAnswer);
                                } })
  , m_endpointReader(
      m_loop,
      m_protocol.m_store,
      ToSocketAddress(m_settings.m_store),
      m_protocol.m_endpointTopic,
      kReads,
      TopicEvents{
        [this](const KeyedRecord& aRecord) {
          RelayRecord(m_protocol.m_endpointTopic, aRecord);
          OnEndpoint(aRecord);
        },
        [this](Offset, TimePoint) { OnStoreWorks(m_protocol.m_endpointTopic); },
        [this](StoreAnswer aAnswer) {
          OnStoreTrouble(m_protocol.m_endpointTopic, aAnswer);
        } })
  , m_callers(m_loop, [this](int aSocket) { m_engine.AcceptCaller(aSocket); })
  , m_ready(m_loop,
            [this](const std::string& aTarget) {
              const bool ready = aTarget == m_protocol.m_readyPath && IsReady();
              return StatusServer::Reply{ ready ? kOk : kUnavailable,
                                          ready ? "ready" : "not ready" };
            })
  , m_metrics(m_loop,
              [this](const std::string& /*aTarget*/) {
                return StatusServer::Reply{ kOk, Metrics() };
              })
  , m_beatTimer(m_loop, [this] { SendBeat(); })
  , m_stopTimer(m_loop, [this] { OnStopTick(); })
  , m_directoryTimer(m_loop, [this] { OnEndpointsChanged(); })
{
  m_engine.m_onMisdirected = [this](const std::string& aService) {
    m_ownership.AskForMap(aService);
  };
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
                .Add("incarnation", m_gossip.Self().m_incarnation));
  m_registry.Start();
  m_configReader.Start();
  m_endpointReader.Start();
  m_beatTimer.StartEvery(kBeatEvery);
  m_loop.Run();
  m_log.Write(LogLine("stopped"));
  m_log.Flush();
}

bool
Gateway::IsLargeFleet() const noexcept
{
  return m_daemons > kSmallFleet;
}

bool
Gateway::IsReady() const
{
  return !m_stopping && m_engine.Routes() != nullptr &&
         m_endpointReader.IsCaughtUp() && m_ownership.KnowsMaps();
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
                  .Add("why", std::string(config.status().message())));
    return;
  }
  if (config->m_version < m_configVersion) {
    return; // read again from an older page
  }
  if (config->m_version > m_configVersion || m_engine.Routes() == nullptr) {
    m_configVersion = config->m_version;
    m_log.Write(LogLine("configuration-in-force")
                  .Add("version", config->m_version)
                  .Add("offset", aRecord.m_offset)
                  .Add("routes", config->m_routes.size()));
    m_engine.SetRoutes(std::make_shared<const RouteTable>(*std::move(config)));
    m_ownership.OnChange();
  }
}

void
Gateway::OnEndpoint(const KeyedRecord& aRecord)
{
  const TimePoint now = BootClock::now();
  if (!aRecord.m_value) {
    const bool lapsed = MayHaveLapsed(now);
    m_log.Write(LogLine("endpoint-removed")
                  .Add("endpoint", aRecord.m_key)
                  .Add("offset", aRecord.m_offset)
                  .Add("may_have_lapsed", lapsed ? 1 : 0));
    m_directory.OnRemoved(now, aRecord.m_key, lapsed);
  } else {
    auto record = m_protocol.m_parseEndpoint(aRecord.m_key, *aRecord.m_value);
    if (!record.ok()) {
      m_log.Write(LogLine("endpoint-entry-rejected")
                    .Add("offset", aRecord.m_offset)
                    .Add("why", std::string(record.status().message())));
      return;
    }
    m_log.Write(LogLine("endpoint-entry")
                  .Add("endpoint", aRecord.m_key)
                  .Add("service", record->m_service)
                  .Add("started_at", record->m_life.m_startedAt)
                  .Add("draining", record->m_draining ? 1 : 0)
                  .Add("offset", aRecord.m_offset),
                LogRank::Routine);
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
    if (known.m_removedAt && now < known.m_removalCountsAt) {
      next = std::min(next, known.m_removalCountsAt);
    }
  }
  if (next != TimePoint::max()) {
    m_directoryTimer.Start(next - now);
  }
}

bool
Gateway::MayHaveLapsed(TimePoint aNow) const
{
  const auto isRecent = [&](TimePoint aWhen) {
    return aWhen != TimePoint{} && aNow < aWhen + kLapseWindow;
  };
  return !m_storeWorks || isRecent(m_troubleAt) || isRecent(m_peerTroubleAt);
}

void
Gateway::OnStoreTrouble(std::string_view aTopic, StoreAnswer aAnswer)
{
  m_troubleAt = BootClock::now();
  if (m_storeWorks) {
    m_storeWorks = false;
    m_log.Write(LogLine("store-lost")
                  .Add("topic", aTopic)
                  .Add("answer", static_cast<int>(aAnswer)));
  }
  m_ownership.SetStoreWorks(false);
}

void
Gateway::OnStoreWorks(std::string_view aTopic)
{
  if (!m_storeWorks) {
    m_storeWorks = true;
    m_log.Write(LogLine("store-reached").Add("topic", aTopic));
  }
  m_storeProvenAt = BootClock::now();
  m_ownership.SetStoreWorks(true);
}

void
Gateway::OnMessage(const HostId& aFrom, const GossipMessage& aMessage)
{
  if (const auto* beat = std::get_if<Beat>(&aMessage)) {
    const TimePoint now = BootClock::now();
    TakeUse(now, aFrom, *beat);
    if (!beat->m_storeWorks) {
      m_peerTroubleAt = now;
      if (beat->m_leads && now >= m_storeProvenAt + kProbeAfter &&
          now >= m_probedAt + kProbeAfter) {
        // The leader asks itself whether another should lead.
        m_probedAt = now;
        m_endpointReader.Probe();
      }
    }
    CompareEnds(*beat);
  }
  if (const auto* relay = std::get_if<TopicRelay>(&aMessage)) {
    OnRelay(*relay);
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
    m_leaderReads = aBeat.m_storeWorks;
  }
  if (IsLargeFleet() && aBeat.m_leads) {
    std::map<std::uint32_t, std::uint32_t> totals;
    for (const auto& total : aBeat.m_totals) {
      totals[total.m_endpointHash] = total.m_running;
    }
    m_engine.OnFleetUse(aNow, totals);
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
    // What the leader has read and not passed on is read at once.
    const bool missed = reader->IsPaused() && aBeat.m_leads;
    if (since == TimePoint{} && !missed) {
      since = now;
    } else if (missed || now >= since + kBehindFor) {
      since = {};
      m_log.Write(LogLine("reader-behind")
                    .Add("topic", topic)
                    .Add("have", reader->End())
                    .Add("peer_has", end->second));
      reader->Refresh();
    }
  }
}

void
Gateway::SendBeat()
{
  const TimePoint now = BootClock::now();
  Beat beat;
  beat.m_stopping = m_stopping;
  beat.m_uses = m_engine.Uses();
  beat.m_ends[m_protocol.m_configTopic] = m_configReader.End();
  beat.m_ends[m_protocol.m_endpointTopic] = m_endpointReader.End();
  beat.m_storeWorks = m_storeWorks;
  beat.m_storeProofAgeMs =
    std::chrono::duration_cast<Millis>(now - m_storeProvenAt).count();
  m_ownership.FillBeat(beat);
  const auto leader = m_ownership.Leader(now);
  if (IsLargeFleet() && beat.m_leads) {
    beat.m_uses.clear();
    for (const auto& [hash, running] : m_engine.Totals(now)) {
      beat.m_totals.push_back({ hash, running });
    }
  }
  if (IsLargeFleet() && leader && !beat.m_leads) {
    m_gossip.SendTo(leader->m_host, beat);
    beat.m_uses.clear();
    m_gossip.SendNext(beat);
  } else {
    m_gossip.SendAll(now, beat);
  }
  m_ownership.ReportKeys();
  if (!IsLargeFleet() || beat.m_leads) {
    m_daemons = m_gossip.AliveDaemons(now);
  }
  m_engine.SetDaemons(m_daemons);
  auto times = m_ownership.Leads() ? kLeaderReads : kReads;
  if (IsLargeFleet()) {
    times.m_gather = kGatherInLargeFleet;
  }
  m_configReader.SetTimes(times);
  m_endpointReader.SetTimes(times);
  ChooseReaders(leader);
  m_log.Flush();
}

/** In a large fleet the leader alone waits for records and passes them on; the
    others follow the store themselves when it is silent or cut off. */
void
Gateway::ChooseReaders(const std::optional<HostId>& aLeader)
{
  const bool relayed = IsLargeFleet() && aLeader &&
                       aLeader->m_host != m_settings.m_host && m_leaderReads;
  for (auto* reader : { &m_configReader, &m_endpointReader }) {
    if (relayed) {
      reader->Pause();
    } else {
      reader->Resume();
    }
  }
}

void
Gateway::RelayRecord(const std::string& aTopic, const KeyedRecord& aRecord)
{
  if (!IsLargeFleet() || !m_ownership.Leads() ||
      aRecord.m_value.value_or("").size() > kMaxRelayed) {
    return; // what is not passed on is read by each daemon itself
  }
  TopicRelay relay{ aTopic, aRecord.m_offset, {} };
  relay.m_records.push_back({ aRecord.m_key,
                              aRecord.m_value.has_value(),
                              aRecord.m_value.value_or("") });
  m_gossip.SendAll(BootClock::now(), relay);
}

void
Gateway::OnRelay(const TopicRelay& aRelay)
{
  std::vector<KeyedRecord> records;
  Offset offset = aRelay.m_first;
  for (const auto& record : aRelay.m_records) {
    KeyedRecord one{ offset++, record.m_key, std::nullopt };
    if (record.m_hasValue) {
      one.m_value = record.m_value;
    }
    records.push_back(std::move(one));
  }
  auto& reader = aRelay.m_topic == m_protocol.m_configTopic ? m_configReader
                                                            : m_endpointReader;
  reader.Accept(records);
}

void
Gateway::Reload(const absl::StatusOr<GatewaySettings>& aSettings)
{
  if (!aSettings.ok()) {
    m_log.Write(LogLine("settings-rejected")
                  .Add("why", std::string(aSettings.status().message())));
    return;
  }
  m_log.Write(LogLine("settings-reloaded"));
  m_settings.m_stopGrace = aSettings->m_stopGrace;
}

void
Gateway::Stop()
{
  if (m_stopping) {
    return;
  }
  m_stopping = true;
  m_stopBegan = BootClock::now();
  m_log.Write(LogLine("stopping").Add("unanswered", m_engine.Unanswered()));
  m_ownership.StopClaiming();
  m_ownership.Resign();
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
  if (m_engine.Unanswered() == 0 ||
      passed >= m_settings.m_stopGrace - kStopMargin) {
    m_loop.Stop();
  }
}

std::string
Gateway::Metrics() const
{
  const auto& counts = m_engine.Counts();
  std::string text;
  const auto add = [&](std::string_view aName, std::uint64_t aValue) {
    text += "sapphirehook_";
    text += aName;
    text += " " + std::to_string(aValue) + "\n";
  };
  add("requests_total", counts.m_requests);
  add("answered_total", counts.m_answered);
  add("refused_total", counts.m_refused);
  add("failed_total", counts.m_failed);
  add("unrouted_total", counts.m_unrouted);
  add("repeats_total", counts.m_repeats);
  add("callers_gone_total", counts.m_gone);
  add("config_version", m_configVersion);
  add("leads", m_ownership.Leads() ? 1 : 0);
  add("store_works", m_storeWorks ? 1 : 0);
  return text;
}

} // namespace sapphirehook
