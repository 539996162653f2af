#include "sapphirehook/gateway/ownership.hpp"

#include "sapphirehook/gateway/internal/ownership_records.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

using namespace internal;

namespace {

/** How often due renewals and moves are looked for, leading and following. */
constexpr Millis kLeaderTick{ 50 };
constexpr Millis kFollowerTick{ 100 };
/** How often the load of ranges is looked at. */
constexpr Millis kPlanEvery{ 200 };
/** A leader's reads wait this long, since each proves its term anew. */
constexpr ReaderTimes kLeaderReads{ .m_wait = Millis(1000),
                                    .m_gather = Millis(300) };
/** Time between two tries to claim. */
constexpr Millis kClaimEvery{ 300 };
/** A round that comes this late tells that the daemon did not run. */
constexpr Millis kPaused{ 400 };

} // namespace

Ownership::Ownership(EventLoop& aLoop,
                     const GatewayProtocol& aProtocol,
                     EventLog& aLog,
                     OwnershipSettings aSettings,
                     Gossip& aGossip,
                     RequestEngine& aEngine,
                     const EndpointDirectory& aDirectory)
  : m_loop(aLoop)
  , m_protocol(aProtocol)
  , m_log(aLog)
  , m_settings(aSettings)
  , m_gossip(aGossip)
  , m_engine(aEngine)
  , m_directory(aDirectory)
  , m_leadership(aSettings.m_leadership,
                 aGossip.Self(),
                 aSettings.m_processorShare,
                 BootClock::now())
  , m_maps(aLoop, aGossip, aEngine, aSettings.m_mapBytesPerSecond)
  , m_writer(aLoop, aSettings.m_store)
  , m_timer(aLoop, [this] { Tick(); })
  , m_planTimer(aLoop, [this] { Plan(); })
  , m_storeTimer(aLoop, [this] { Append(); })
{
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
      return m_led.contains(aName) || m_engine.Ranges(aName).IsComplete();
    });
}

void
Ownership::OnChange()
{
  m_tickAllAt = {};
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
  if (now >= std::exchange(m_tickedAt, now) + kPaused) {
    m_leadership.OnPause(now);
  }
  if (m_leadership.Leads()) {
    if (m_leadership.ShouldResign(now) ||
        (m_stopping && m_leadership.CanHandOver(now))) {
      Resign();
      return;
    }
    TickLed();
  } else if (m_reader) {
    StepDown("another daemon leads");
  } else if (!m_claiming && !m_stopping && !KeyedServices().empty() &&
             (m_leadership.ShouldClaim(now) || m_leadership.ShouldRead(now))) {
    TryClaim();
  }
}

// Claims.

void
Ownership::TryClaim()
{
  const TimePoint now = BootClock::now();
  if (m_writer.IsBusy() || now < m_triedAt + kClaimEvery) {
    return;
  }
  m_triedAt = now;
  m_claiming = true;
  m_newestAfter.clear();
  m_stored.clear();
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
    if (m_onStoreTrouble) {
      m_onStoreTrouble(aPage.m_answer);
    }
    return;
  }
  if (m_newestAfter.empty()) {
    m_newestEnd = aPage.m_end;
  }
  for (const auto& record : aPage.m_records) {
    m_newestAfter = record.m_key;
    m_stored[record.m_key] = record.m_value.value_or("");
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
  if (m_stored.contains(kLeaderKey)) {
    const auto record = Unpack<LeaderRecord>(m_stored[kLeaderKey]);
    if (record.ok()) {
      m_leadership.OnRecord(now, *record);
    }
  }
  if (!m_leadership.ShouldClaim(now)) {
    m_claiming = false; // a leader was heard of meanwhile
    return;
  }
  Claim(m_newestEnd);
}

void
Ownership::Claim(Offset aEnd)
{
  m_claimTerm = m_leadership.HighestTerm() + 1;
  Leadership after = m_leadership;
  after.OnClaimed(BootClock::now(), m_claimTerm);
  const auto record = after.RecordFor(BootClock::now(), m_claimTerm, 0);
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
  if (aOutcome.m_answer != StoreAnswer::Ok) {
    // A lost claim is settled by the next one, which needs the same end.
    return;
  }
  m_end = aOutcome.m_end;
  m_leadership.OnClaimed(BootClock::now(), m_claimTerm);
  BeginLeading();
}

void
Ownership::BeginLeading()
{
  m_log.Write(LogLine("leads")
                .Add("term", m_claimTerm)
                .Add("end", m_end)
                .Add("earlier_grants_ms",
                     m_leadership.PreviousGrantsExpiry() - BootClock::now()),
              LogPriority::State);
  m_sequence = 0;
  m_appending.clear();
  m_appendBusy = false;
  m_led.clear();
  m_orders.clear();
  m_tickAllAt = {};
  m_maps.BeginLeading(m_claimTerm);
  SyncServices(BootClock::now());
  m_reader = std::make_unique<TopicReader>(
    m_loop,
    m_protocol.m_store,
    m_settings.m_store,
    kTopic,
    kLeaderReads,
    TopicEvents{ [this](const KeyedRecord& aRecord) { OnOwnRecord(aRecord); },
                 nullptr,
                 [this](const EndConfirmation& aProof) {
                   m_leadership.OnTermConfirmed(aProof.m_askedAt);
                 },
                 [](const ReadFailure&) {} });
  m_reader->Start();
  m_timer.StartEvery(kLeaderTick);
  m_planTimer.StartEvery(kPlanEvery);
  TickSoon();
  if (m_onLeads) {
    m_onLeads();
  }
}

void
Ownership::OnOwnRecord(const KeyedRecord& aRecord)
{
  if (aRecord.m_key != kLeaderKey || !aRecord.m_value) {
    return;
  }
  const auto record = Unpack<LeaderRecord>(*aRecord.m_value);
  if (record.ok()) {
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
  // The record names those of earlier leaders.
  TimePoint ends = now;
  for (const auto& [name, led] : m_led) {
    ends = std::max(ends, led.m_keeper.AllGrantsExpiry(now));
  }
  const auto term = m_leadership.HighestTerm();
  m_leadership.Resign(now);
  const auto left = std::chrono::duration_cast<Millis>(ends - now);
  m_gossip.SendAll(
    now, Resignation{ term, std::max<std::int64_t>(left.count(), 0) });
  StepDown("resigned");
}

void
Ownership::StepDown(std::string_view aWhy)
{
  if (!m_reader) {
    return;
  }
  m_log.Write(
    LogLine("stops-leading").Add("term", m_claimTerm).Add("why", aWhy),
    LogPriority::State);
  m_led.clear();
  m_maps.StopLeading();
  m_writer.Abort();
  m_appendBusy = false;
  m_appending.clear();
  m_storeTimer.Stop();
  m_planTimer.Stop();
  if (m_reader) {
    m_reader->Stop();
    m_loop.Retire(std::shared_ptr<TopicReader>(std::move(m_reader)));
  }
  for (auto& [name, orders] : m_orders) {
    orders->GiveUp(); // what has not arrived yet must never do so
    m_loop.Retire(std::shared_ptr<EndpointOrders>(std::move(orders)));
  }
  m_orders.clear();
  m_timer.StartEvery(kFollowerTick);
}

// Messages.

void
Ownership::FillBeat(GossipHeartbeat& aBeat) const
{
  aBeat.m_term = m_leadership.HighestTerm();
  aBeat.m_leads = m_leadership.Leads();
  aBeat.m_processorShare = m_settings.m_processorShare;
  aBeat.m_resignedTerm = m_leadership.ResignedTerm();
  aBeat.m_resignedGrantsEndInMs =
    std::chrono::duration_cast<Millis>(m_leadership.ResignedGrantsExpiry() -
                                       BootClock::now())
      .count();
  for (const auto& [name, led] : m_led) {
    aBeat.m_maps[name] = m_maps.Digests(name);
  }
  if (aBeat.m_leads) {
    aBeat.m_successors = m_leadership.ChooseSuccessors(BootClock::now());
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
  if (const auto* beat = std::get_if<GossipHeartbeat>(&aMessage)) {
    m_leadership.OnHeartbeat(now,
                             aFrom,
                             beat->m_term,
                             beat->m_leads,
                             { beat->m_storeWorks,
                               now - Millis(beat->m_storeConfirmationAgeMs),
                               beat->m_stopping,
                               now,
                               beat->m_processorShare });
    m_leadership.OnResignationReported(
      beat->m_resignedTerm,
      now + Millis(std::max<std::int64_t>(beat->m_resignedGrantsEndInMs, 0)));
    OnLeaderBeat(aFrom, *beat);
    if (m_reader && !m_leadership.Leads()) {
      // Others go by the next beat, which says that no order follows.
      StepDown("another daemon leads");
    }
  } else if (const auto* report = std::get_if<KeyReport>(&aMessage)) {
    const auto led = m_led.find(report->m_service);
    if (led != m_led.end()) {
      led->second.m_planner.Add(report->m_counts);
    }
  } else if (const auto* update = std::get_if<RouteUpdate>(&aMessage)) {
    if (!m_leadership.Leads() && update->m_term >= m_leadership.HighestTerm()) {
      m_maps.OnUpdate(*update);
    }
  } else if (const auto* request = std::get_if<RouteRequest>(&aMessage)) {
    if (m_led.contains(request->m_service)) {
      m_maps.OnRequest(aFrom, *request);
    }
  } else if (const auto* resigned = std::get_if<Resignation>(&aMessage)) {
    m_leadership.OnResigned(
      now, aFrom, resigned->m_term, Millis(resigned->m_grantsEndInMs));
    TickSoon();
  }
}

void
Ownership::OnLeaderBeat(const HostId& aFrom, const GossipHeartbeat& aBeat)
{
  if (aBeat.m_leads && !m_leadership.Leads() &&
      aBeat.m_term >= m_leadership.HighestTerm()) {
    m_leadership.SetSuccessors(aBeat.m_successors);
    m_maps.OnDigests(aFrom, aBeat.m_maps);
  }
}

} // namespace sapphirehook
