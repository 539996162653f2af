#include "sapphirehook/gateway/ownership.hpp"

#include "sapphirehook/gateway/internal/ownership_records.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

using namespace internal;

namespace {

/** Tick intervals of a leader, which checks for due renewals and moves, and of
    a follower, which checks whether to claim. */
constexpr Millis kLeaderTick{ 50 };
constexpr Millis kFollowerTick{ 100 };
/** Time between two checks of the load of ranges. */
constexpr Millis kPlanInterval{ 200 };
/** Wait times of a leader's reads. They are short because each read confirms
    the leader's term again. */
constexpr ReaderTimes kLeaderReads{ .m_wait = Millis(1000),
                                    .m_gather = Millis(300) };
/** Shortest time between two attempts to claim. */
constexpr Millis kClaimInterval{ 300 };
/** A leader that cannot store its assignments in a restored store resigns after
    this time, while its authority still lasts. */
constexpr Millis kLongestReclaim{ 10'000 };
/** A tick that is this late means that the daemon did not run. */
constexpr Millis kPauseThreshold{ 400 };

} // namespace

Ownership::Ownership(EventLoop& aLoop,
                     const GatewayProtocol& aProtocol,
                     EventLog& aLog,
                     OwnershipSettings aSettings,
                     Gossip& aGossip,
                     RequestEngine& aEngine,
                     const EndpointDirectory& aDirectory,
                     EndpointLiveness& aLiveness)
  : m_loop(aLoop)
  , m_protocol(aProtocol)
  , m_log(aLog)
  , m_settings(aSettings)
  , m_gossip(aGossip)
  , m_engine(aEngine)
  , m_directory(aDirectory)
  , m_liveness(aLiveness)
  , m_leadership(aSettings.m_leadership,
                 aGossip.Self(),
                 aSettings.m_processorShare,
                 BootClock::now())
  , m_maps(aLoop, aGossip, aEngine, aSettings.m_mapBytesPerSecond)
  , m_writer(aLoop, aSettings.m_store)
  , m_timer(aLoop, [this] { Tick(); })
  , m_planTimer(aLoop, [this] { Plan(); })
  , m_storeTimer(aLoop, [this] {
    if (m_reclaiming) {
      Reclaim();
    } else {
      Append();
    }
  })
{
  if (aSettings.m_fleetHasRun) {
    m_leadership.OnFleetHasRun();
  }
  m_timer.StartEvery(kFollowerTick);
}

Ownership::~Ownership() = default;

std::set<std::string>
Ownership::KeyedServices() const
{
  std::set<std::string> names;
  if (const auto* routes = m_engine.Routes()) {
    for (const auto& [name, spec] : routes->Config().m_services) {
      if (spec.m_keyed) {
        names.insert(name);
      }
    }
  }
  return names;
}

bool
Ownership::KnowsMaps() const
{
  const auto services = KeyedServices();
  return std::all_of(
    services.begin(), services.end(), [&](const std::string& aName) {
      return m_ledServices.contains(aName) ||
             m_engine.Ranges(aName).IsComplete();
    });
}

void
Ownership::OnChange()
{
  m_fullTickAt = {};
  TickSoon();
}

void
Ownership::TickSoon()
{
  if (!m_tickQueued) {
    m_tickQueued = true;
    m_loop.Defer([this] { Tick(); });
  }
}

void
Ownership::Tick()
{
  m_tickQueued = false;
  const TimePoint now = BootClock::now();
  const TimePoint before = std::exchange(m_tickedAt, now);
  if (now >= before + kPauseThreshold) {
    m_leadership.OnPause(before, now);
  }
  if (m_leadership.Leads()) {
    // Until a restored store has the assignments again, no other daemon could
    // grant a key before all present leases have expired.
    const bool keepsLeading =
      m_reclaiming && now < m_leadership.ConfirmedAt() + kLongestReclaim;
    if (!keepsLeading && (m_leadership.ShouldResign(now) ||
                          (m_stopping && m_leadership.CanHandOver(now)))) {
      Resign();
      return;
    }
    TickLedServices();
  } else if (m_reader) {
    StepDown("another daemon leads");
  } else if (!m_claiming && !m_stopping && KnowsHosts() &&
             !KeyedServices().empty() &&
             (m_leadership.ShouldClaim(now) || m_leadership.ShouldRead(now))) {
    TryClaim();
  }
}

// Claims.

void
Ownership::TryClaim()
{
  const TimePoint now = BootClock::now();
  if (m_writer.IsBusy() || now < m_claimTriedAt + kClaimInterval) {
    return;
  }
  m_claimTriedAt = now;
  m_claiming = true;
  m_newestAfter.clear();
  m_storedRecords.clear();
  m_writer.Call(m_protocol.m_store.m_newest(kTopic, ""),
                kStoreTimeout,
                [this](const CallResult& aResult) {
                  OnNewest(m_protocol.m_store.m_parseNewest(aResult));
                });
}

void
Ownership::OnNewest(const KeyedPage& aPage)
{
  if (aPage.m_answer != StoreAnswer::Ok) {
    m_claiming = false;
    if (m_onStoreFailure) {
      m_onStoreFailure(aPage.m_answer);
    }
    return;
  }
  const bool isKnown = IsOfKnownEra(aPage.m_era);
  if (m_newestAfter.empty()) {
    m_newestEnd = aPage.m_end;
    m_claimEra = aPage.m_era;
  }
  if (aPage.m_era != m_leadership.Era() ||
      (!isKnown && !m_newestAfter.empty())) {
    m_claiming = false; // some pages are of an earlier era
    return;
  }
  for (const auto& record : aPage.m_records) {
    m_newestAfter = record.m_key;
    m_storedRecords[record.m_key] = record;
  }
  if (aPage.m_hasMore && !aPage.m_records.empty()) {
    m_writer.Call(m_protocol.m_store.m_newest(kTopic, m_newestAfter),
                  kStoreTimeout,
                  [this](const CallResult& aResult) {
                    OnNewest(m_protocol.m_store.m_parseNewest(aResult));
                  });
    return;
  }
  const TimePoint now = BootClock::now();
  std::optional<LeaderRecord> stored;
  if (const auto found = m_storedRecords.find(kLeaderKey);
      found != m_storedRecords.end()) {
    stored = UnpackLeader(found->second);
  }
  if (stored) {
    m_leadership.OnRecord(now, *stored);
  }
  m_claim.m_knowsEarlier = m_leadership.KnowsEarlierLeaders(stored);
  m_loadTrustedFrom = stored ? stored->m_trustedFrom : 0;
  if (!m_claim.m_knowsEarlier) {
    m_loadTrustedFrom = m_newestEnd + 1; // the end after the claim
  }
  if (!m_leadership.ShouldClaim(now) ||
      (!m_claim.m_knowsEarlier && !m_leadership.HasWaitedForLeader(now))) {
    m_claiming = false; // a leader has become known, or may do so
    return;
  }
  Claim(m_newestEnd);
}

void
Ownership::Claim(Offset aEnd)
{
  const TimePoint now = BootClock::now();
  m_claim.m_term = m_leadership.NextTerm();
  m_claim.m_sentAt = now;
  Leadership after = m_leadership;
  after.OnClaimed(now, m_claim);
  auto record = after.RecordFor(now, m_claim.m_term, 0);
  record.m_trustedFrom = m_loadTrustedFrom;
  m_writer.Call(m_protocol.m_store.m_append(
                  kTopic, aEnd, { { 0, kLeaderKey, Pack(record) } }),
                kStoreTimeout,
                [this](const CallResult& aResult) {
                  OnClaimAppend(m_protocol.m_store.m_parseAppend(aResult));
                });
}

void
Ownership::OnClaimAppend(const AppendOutcome& aOutcome)
{
  m_claiming = false;
  if (!IsOfKnownEra(aOutcome.m_era) || aOutcome.m_era != m_claimEra ||
      aOutcome.m_answer != StoreAnswer::Ok) {
    // The outcome of an unanswered claim, or of one that reached the store of
    // another era than the records that it rests on, does not matter: the next
    // claim reads the records again and appends at the end it finds.
    return;
  }
  m_end = aOutcome.m_end;
  m_trustedFrom = m_loadTrustedFrom;
  m_leadership.OnClaimed(BootClock::now(), m_claim);
  BeginLeading();
}

void
Ownership::BeginLeading()
{
  m_log.Write(LogLine("leads")
                .Add("term", m_claim.m_term)
                .Add("end", m_end)
                .Add("era", m_leadership.Era())
                .Add("knows_earlier", m_claim.m_knowsEarlier)
                .Add("earlier_grants_ms",
                     m_leadership.PreviousGrantsExpiry() - BootClock::now()),
              LogPriority::State);
  m_sequence = 0;
  m_appending.clear();
  m_appendBusy = false;
  m_reclaiming = false;
  m_ledServices.clear();
  m_commands.clear();
  m_fullTickAt = {};
  m_maps.BeginLeading(m_claim.m_term);
  SyncServices(BootClock::now());
  m_reader = std::make_unique<TopicReader>(
    m_loop,
    m_protocol.m_store,
    m_settings.m_store,
    kTopic,
    kLeaderReads,
    TopicEvents{
      [this](const KeyedRecord& aRecord) { OnOwnRecord(aRecord); },
      nullptr,
      [this](const EndConfirmation& aConfirmation) {
        m_leadership.OnTermConfirmed(aConfirmation.m_askedAt,
                                     aConfirmation.m_end.m_era);
      },
      [](const ReadFailure&) {},
      nullptr,
      [this](StoreEra aEra) { static_cast<void>(IsOfKnownEra(aEra)); } });
  m_reader->Start();
  m_timer.StartEvery(kLeaderTick);
  m_planTimer.StartEvery(kPlanInterval);
  TickSoon();
  if (m_onLeadershipGained) {
    m_onLeadershipGained();
  }
}

void
Ownership::OnOwnRecord(const KeyedRecord& aRecord)
{
  if (aRecord.m_key != kLeaderKey) {
    return;
  }
  if (const auto record = UnpackLeader(aRecord)) {
    m_leadership.OnRecord(BootClock::now(), *record);
    if (!m_leadership.Leads()) {
      m_loop.Defer([this] { StepDown("another daemon has claimed"); });
    }
  }
}

void
Ownership::BeginStop()
{
  m_stopping = true;
  TickSoon();
}

void
Ownership::Resign()
{
  if (!m_leadership.Leads()) {
    return;
  }
  const TimePoint now = BootClock::now();
  // The leader record contains the expiry of the grants of earlier leaders.
  TimePoint ends = now;
  for (const auto& [name, ledService] : m_ledServices) {
    ends = std::max(ends, ledService.m_rangeManager.AllGrantsExpiry(now));
  }
  const auto term = m_leadership.HighestTerm();
  const bool isLatest =
    m_reclaiming && m_leadership.HasLivedThrough(m_claimLostAt, now);
  m_leadership.Resign(now);
  const auto left = std::chrono::duration_cast<Millis>(ends - now);
  m_gossip.SendAll(
    now,
    Resignation{ term, std::max<std::int64_t>(left.count(), 0), isLatest });
  StepDown("resigned");
}

void
Ownership::StepDown(std::string_view aWhy)
{
  if (!m_reader) {
    return;
  }
  m_log.Write(
    LogLine("stops-leading").Add("term", m_claim.m_term).Add("why", aWhy),
    LogPriority::State);
  m_ledServices.clear();
  m_maps.StopLeading();
  m_writer.Abort();
  m_appendBusy = false;
  m_reclaiming = false;
  m_appending.clear();
  m_storeTimer.Stop();
  m_planTimer.Stop();
  if (m_reader) {
    m_reader->Stop();
    m_loop.Retire(std::shared_ptr<TopicReader>(std::move(m_reader)));
  }
  for (auto& [name, commands] : m_commands) {
    commands
      ->AbandonCall(); // commands that have not arrived yet must not arrive
    m_loop.Retire(std::shared_ptr<EndpointCommands>(std::move(commands)));
  }
  m_commands.clear();
  m_timer.StartEvery(kFollowerTick);
}

// Messages.

void
Ownership::FillHeartbeat(GossipHeartbeat& aHeartbeat) const
{
  aHeartbeat.m_term = m_leadership.HighestTerm();
  aHeartbeat.m_leads = m_leadership.Leads();
  aHeartbeat.m_processorShare = m_settings.m_processorShare;
  aHeartbeat.m_resignedTerm = m_leadership.ResignedTerm();
  aHeartbeat.m_resignedGrantsEndInMs =
    std::chrono::duration_cast<Millis>(m_leadership.ResignedGrantsExpiry() -
                                       BootClock::now())
      .count();
  for (const auto& [name, ledService] : m_ledServices) {
    aHeartbeat.m_maps[name] = m_maps.Digests(name);
    if (!ledService.m_keyLimits.empty()) {
      aHeartbeat.m_keyLimits[name] = ledService.m_keyLimits;
    }
  }
  if (aHeartbeat.m_leads) {
    aHeartbeat.m_successors = m_leadership.ChooseSuccessors(BootClock::now());
  }
}

void
Ownership::ReportKeys()
{
  const auto leader = m_leadership.Leader(BootClock::now());
  if (!leader || m_leadership.Leads()) {
    return;
  }
  for (const auto& name : KeyedServices()) {
    KeyReport report{ name, m_engine.TakeKeyCounts(name) };
    if (!report.m_counts.empty()) {
      m_gossip.SendTo(leader->m_host, report);
    }
  }
}

void
Ownership::OnMisdirected(const std::string& aService, Key aKey)
{
  if (!m_leadership.Leads()) {
    m_maps.OnMisdirected(m_leadership.Leader(BootClock::now()), aService, aKey);
  }
}

void
Ownership::OnMessage(const HostId& aFrom, const GossipMessage& aMessage)
{
  const TimePoint now = BootClock::now();
  if (const auto* heartbeat = std::get_if<GossipHeartbeat>(&aMessage)) {
    if (heartbeat->m_eraAgeMs >= 0 && heartbeat->Era() >= m_leadership.Era()) {
      m_leadership.OnRestoreSeen();
    }
    m_leadership.OnHeartbeat(
      now,
      aFrom,
      heartbeat->m_term,
      heartbeat->m_leads,
      { heartbeat->m_storeWorks,
        now - Millis(heartbeat->m_storeConfirmationAgeMs),
        heartbeat->m_stopping,
        now,
        heartbeat->m_processorShare });
    m_leadership.OnResignationReported(
      heartbeat->m_resignedTerm,
      now +
        Millis(std::max<std::int64_t>(heartbeat->m_resignedGrantsEndInMs, 0)));
    OnLeaderHeartbeat(aFrom, *heartbeat);
    if (m_reader && !m_leadership.Leads()) {
      // This daemon's next heartbeat reports that it sends no more commands,
      // and the other daemons rely on that.
      StepDown("another daemon leads");
    }
  } else if (const auto* report = std::get_if<KeyReport>(&aMessage)) {
    const auto ledService = m_ledServices.find(report->m_service);
    if (ledService != m_ledServices.end()) {
      ledService->second.m_planner.Add(report->m_counts);
    }
  } else if (const auto* update = std::get_if<RouteUpdate>(&aMessage)) {
    if (!m_leadership.Leads() && update->m_term >= m_leadership.HighestTerm()) {
      m_maps.OnUpdate(*update);
    }
  } else if (const auto* request = std::get_if<RouteRequest>(&aMessage)) {
    if (m_ledServices.contains(request->m_service)) {
      m_maps.OnRequest(aFrom, *request);
    }
  } else if (const auto* resigned = std::get_if<Resignation>(&aMessage)) {
    m_leadership.OnResigned(now,
                            aFrom,
                            resigned->m_term,
                            Millis(resigned->m_grantsEndInMs),
                            resigned->m_isLatest);
    TickSoon();
  }
}

void
Ownership::OnLeaderHeartbeat(const HostId& aFrom,
                             const GossipHeartbeat& aHeartbeat)
{
  if (aHeartbeat.m_leads && !m_leadership.Leads() &&
      aHeartbeat.m_term >= m_leadership.HighestTerm()) {
    m_leadership.SetSuccessors(aHeartbeat.m_successors);
    m_maps.OnDigests(aFrom, aHeartbeat.m_maps);
    for (const auto& name : KeyedServices()) {
      const auto limits = aHeartbeat.m_keyLimits.find(name);
      m_engine.SetKeyLimits(name,
                            limits != aHeartbeat.m_keyLimits.end()
                              ? limits->second
                              : std::vector<KeyLimit>());
    }
  }
}

} // namespace sapphirehook
