#include "sapphirehook/gateway/ownership.hpp"

#include "sapphirehook/gateway/internal/ownership_records.hpp"

#include <algorithm>
#include <utility>

// The leader's part of Ownership: commands to endpoints, moves of ranges, and
// storing the assignments.

namespace sapphirehook {

using namespace internal;

namespace {

/** Time between two appends of changes, which batches moves into few calls. */
constexpr Millis kStoreInterval{ 60 };
/** Time between two ticks that check all ranges and endpoints. Other ticks
    check only the ranges that have changed. */
constexpr Millis kFullTickInterval{ 100 };
/** The same interval while grants are deferred to the next tick. The pause lets
    the event loop handle other events. */
constexpr Millis kBacklogTickInterval{ 40 };
/** Presumed remaining duration of an earlier leader's grants at the start of a
    term: the lease duration, less the renewal interval, the heartbeat timeout
    that detects the loss of a leader, and the duration of the claim. */
constexpr Millis kPresumedLeaseDuration{ 1500 };
/** The ranges of an evacuated zone have moved this long before the time limit:
    shortly before the daemons refuse the requests for their keys. */
constexpr Millis kEvacuationMoveMargin{ 1000 };

} // namespace

bool
Ownership::CanBegin(TimePoint aNow, const std::string& aService)
{
  const std::string prefix = kRangePrefix + aService + "/";
  const auto stored = m_storedRecords.lower_bound(prefix);
  if (stored != m_storedRecords.end() &&
      stored->first.compare(0, prefix.size(), prefix) == 0) {
    return true;
  }
  const auto endpoints = EndpointCount(aService);
  return m_arrivals[aService].HasSettled(aNow, endpoints);
}

std::size_t
Ownership::EndpointCount(const std::string& aService) const
{
  const auto& all = m_directory.All();
  return static_cast<std::size_t>(
    std::count_if(all.begin(), all.end(), [&](const auto& aOne) {
      return aOne.second.m_record.m_service == aService;
    }));
}

void
Ownership::SyncServices(TimePoint aNow)
{
  for (const auto& name : KeyedServices()) {
    if (m_ledServices.contains(name) || !CanBegin(aNow, name)) {
      continue;
    }
    auto& ledService = m_ledServices
                         .try_emplace(name,
                                      m_settings.m_rangeManager,
                                      FirstFenceOf(m_claim.m_term),
                                      m_leadership.PreviousGrantsExpiry())
                         .first->second;
    auto& rangeManager = ledService.m_rangeManager;
    LoadAssignments(aNow, name, rangeManager);
    rangeManager.CoverAll(InitialRanges(EndpointCount(name)));
    // Assignments that may be out of date do not replace the map of the last
    // leader, whose endpoints may still hold their keys.
    if (!rangeManager.HasUnknownHolders(aNow) ||
        !m_engine.Ranges(name).IsComplete()) {
      // This daemon may have no map yet. The other daemons request the blocks
      // that differ from theirs.
      for (const auto& route : rangeManager.Routes()) {
        m_engine.SetRange(name, route);
      }
    }
  }
}

void
Ownership::LoadAssignments(TimePoint aNow,
                           const std::string& aService,
                           RangeManager& aRangeManager)
{
  for (unsigned block = 0; block < kBlocks; ++block) {
    const auto stored = m_storedRecords.find(BlockKey(aService, block));
    const bool isStored = stored != m_storedRecords.end();
    if (m_loadTrustedFrom > 0 &&
        (!isStored || stored->second.m_offset < m_loadTrustedFrom)) {
      aRangeManager.SetHoldersUnknown(block);
    }
    if (!isStored) {
      continue;
    }
    const auto assignments =
      UnpackBlock(block, stored->second.m_value.value_or(""));
    if (!assignments.ok()) {
      m_log.Write(LogLine("assignments-unreadable")
                    .Add("key", stored->first)
                    .Add("why", assignments.status().ToString()));
      aRangeManager.SetHoldersUnknown(block);
      continue;
    }
    for (const auto& assignment : *assignments) {
      aRangeManager.Load(assignment, aNow + kPresumedLeaseDuration);
    }
  }
}

std::vector<RangeManagerEndpoint>
Ownership::ManagerEndpoints(TimePoint aNow, const std::string& aService)
{
  std::vector<RangeManagerEndpoint> endpoints;
  for (const auto& [name, known] : m_directory.All()) {
    if (known.m_record.m_service != aService) {
      continue;
    }
    RangeManagerEndpoint endpoint;
    endpoint.m_incarnation = known.m_record.m_incarnation;
    endpoint.m_usable = m_directory.IsUsable(aNow, known);
    const auto commands = m_commands.find(name);
    if (commands != m_commands.end() &&
        commands->second->Incarnation() == endpoint.m_incarnation) {
      endpoint.m_unresponsive = commands->second->IsUnresponsive(aNow);
    }
    endpoint.m_capacity = m_engine.CapacityOf(name);
    if (const auto since = m_directory.EvacuatedSince(known);
        since && m_directory.IsUsableApartFromZone(aNow, known)) {
      endpoint.m_evacuateBy =
        *since + m_settings.m_evacuation - kEvacuationMoveMargin;
    }
    endpoints.push_back(std::move(endpoint));
  }
  return endpoints;
}

EndpointCommands*
Ownership::CommandsFor(const std::string& aEndpoint)
{
  const auto* known = m_directory.Find(aEndpoint);
  if (known == nullptr) {
    const auto found = m_commands.find(aEndpoint);
    return found == m_commands.end() ? nullptr : found->second.get();
  }
  auto& commands = m_commands[aEndpoint];
  if (commands && commands->Incarnation() != known->m_record.m_incarnation) {
    commands->AbandonCall();
    m_loop.Retire(std::shared_ptr<EndpointCommands>(std::move(commands)));
  }
  if (!commands) {
    commands = std::make_unique<EndpointCommands>(
      m_loop, m_protocol, known->m_record, CommandEventsFor(known->m_record));
  }
  return commands.get();
}

CommandEvents
Ownership::CommandEventsFor(const EndpointRecord& aRecord)
{
  const auto manager = [this, service = aRecord.m_service]() -> RangeManager* {
    const auto led = m_ledServices.find(service);
    return led == m_ledServices.end() ? nullptr : &led->second.m_rangeManager;
  };
  CommandEvents events;
  events.m_onGrantEnd = [this, manager](std::uint64_t aId,
                                        const CommandResult& aAnswer) {
    if (auto* ranges = manager()) {
      ranges->OnGrantEnd(BootClock::now(), aId, aAnswer);
      TickSoon();
    }
  };
  events.m_onReleaseEnd = [this, manager](std::uint64_t aId,
                                          const CommandResult& aAnswer) {
    if (auto* ranges = manager()) {
      ranges->OnReleaseEnd(BootClock::now(), aId, aAnswer);
      TickSoon();
    }
  };
  const auto& incarnation = aRecord.m_incarnation;
  events.m_onNewConnection = [manager, name = incarnation.m_name] {
    if (auto* ranges = manager()) {
      ranges->OnNewConnection(BootClock::now(), name);
    }
  };
  events.m_leadsToEndpoint =
    [this, incarnation, address = aRecord.m_address](TimePoint aConnectedAt) {
      return m_liveness.LeadsTo(incarnation, address, aConnectedAt);
    };
  events.m_onAlive =
    [this, name = incarnation.m_name, address = aRecord.m_address](
      TimePoint aAt) { m_liveness.OnAlive(name, address, aAt); };
  events.m_onOtherEndpoint = [this,
                              name = incarnation.m_name,
                              service = aRecord.m_service] {
    m_log.Write(
      LogLine("address-reused").Add("endpoint", name).Add("service", service));
  };
  events.m_mayCommand = [this] {
    return m_leadership.HasAuthority(BootClock::now());
  };
  events.m_healthPath = [this, service = aRecord.m_service] {
    const auto* routes = m_engine.Routes();
    const auto* spec = routes ? routes->Service(service) : nullptr;
    return spec ? spec->m_healthPath : std::string();
  };
  return events;
}

void
Ownership::TickLedServices()
{
  const TimePoint now = BootClock::now();
  if (!m_leadership.HasAuthority(now)) {
    return;
  }
  const bool all = now >= m_fullTickAt;
  if (all) {
    m_fullTickAt = now + kFullTickInterval;
    SyncServices(now);
  }
  for (auto& [name, ledService] : m_ledServices) {
    ledService.m_rangeManager.SetConfirmedAt(m_leadership.ConfirmedAt());
    ledService.m_rangeManager.SetPreviousGrantsExpiry(
      m_leadership.PreviousGrantsExpiry());
    if (all) {
      ledService.m_rangeManager.SetEndpoints(ManagerEndpoints(now, name));
      Execute(now, name, ledService, ledService.m_rangeManager.Tick(now));
      if (ledService.m_rangeManager.HasMoreGrants()) {
        m_fullTickAt = now + kBacklogTickInterval;
      }
    } else {
      Execute(
        now, name, ledService, ledService.m_rangeManager.TickChanged(now));
    }
  }
  StoreChanges();
}

void
Ownership::Execute(TimePoint aNow,
                   const std::string& aName,
                   LedService& aLedService,
                   const RangeManagerActions& aActions)
{
  for (const auto& grant : aActions.m_grants) {
    if (auto* commands = CommandsFor(grant.m_endpoint)) {
      commands->Grant(grant);
    } else {
      aLedService.m_rangeManager.OnGrantEnd(
        aNow, grant.m_id, { CommandOutcome::NotSent, "" });
    }
  }
  for (const auto& release : aActions.m_releases) {
    m_log.Write(LogLine("release-sent")
                  .Add("service", aName)
                  .Add("endpoint", release.m_endpoint)
                  .Add("first", release.m_command.m_range.m_first)
                  .Add("last", release.m_command.m_range.m_last)
                  .Add("fence", release.m_command.m_fence));
    if (auto* commands = CommandsFor(release.m_endpoint)) {
      commands->Release(release);
    } else {
      aLedService.m_rangeManager.OnReleaseEnd(
        aNow, release.m_id, { CommandOutcome::NotSent, "" });
    }
  }
  m_maps.Publish(aName, aActions.m_routes);
}

void
Ownership::Plan()
{
  const TimePoint now = BootClock::now();
  if (!m_leadership.HasAuthority(now) || m_reclaiming) {
    return;
  }
  for (auto& [name, ledService] : m_ledServices) {
    ledService.m_planner.Add(m_engine.TakeKeyCounts(name));
    ledService.m_planner.Advance(now);
    const auto ranges = ledService.m_rangeManager.Ranges();
    std::vector<PlannerEndpoint> endpoints;
    for (const auto& endpoint : ManagerEndpoints(now, name)) {
      if (endpoint.m_usable && !endpoint.m_unresponsive) {
        endpoints.push_back(
          { endpoint.m_incarnation.m_name, endpoint.m_capacity });
      }
    }
    const auto moves = ledService.m_planner.Plan(ranges, endpoints);
    for (const auto& move : moves) {
      m_log.Write(
        LogLine("range-moves")
          .Add("service", name)
          .Add("first", move.m_range.m_first)
          .Add("last", move.m_range.m_last)
          .Add("rate",
               static_cast<int>(ledService.m_planner.Rate(move.m_range)))
          .Add("to", move.m_to));
      ledService.m_rangeManager.Move(now, move.m_range, move.m_to);
    }
    LimitKeys(name, ledService, endpoints);
  }
  TickSoon();
}

/** Limits the keys for which callers send more requests than their endpoints
   can serve, on all daemons. */
void
Ownership::LimitKeys(const std::string& aName,
                     LedService& aLedService,
                     const std::vector<PlannerEndpoint>& aEndpoints)
{
  const auto limits = aLedService.m_planner.Limits(
    aLedService.m_rangeManager.Ranges(), aEndpoints);
  for (const auto& limit : limits) {
    const bool isKnown = std::any_of(
      aLedService.m_keyLimits.begin(),
      aLedService.m_keyLimits.end(),
      [&](const KeyLimit& aOne) { return aOne.m_key == limit.m_key; });
    if (!isKnown) {
      m_log.Write(LogLine("key-limited")
                    .Add("service", aName)
                    .Add("key", limit.m_key)
                    .Add("rate",
                         static_cast<int>(aLedService.m_planner.Rate(
                           { limit.m_key, limit.m_key })))
                    .Add("admitted_permille", limit.m_admittedPermille));
    }
  }
  aLedService.m_keyLimits = limits;
  m_engine.SetKeyLimits(aName, limits);
}

void
Ownership::StoreChanges()
{
  const TimePoint now = BootClock::now();
  if (m_appendBusy || now < m_appendedAt + kStoreInterval) {
    return; // a later tick stores the accumulated changes
  }
  for (auto& [name, ledService] : m_ledServices) {
    if (!ledService.m_rangeManager.HasToStore()) {
      continue;
    }
    AddBlocks(name, ledService.m_rangeManager.BeginStore());
  }
  if (m_appending.empty()) {
    return;
  }
  m_appendBusy = true;
  ++m_sequence;
  m_appending.push_back(
    { 0, kLeaderKey, PackedRecord(now, m_claim.m_term, m_trustedFrom) });
  Append();
}

std::string
Ownership::PackedRecord(TimePoint aNow, Term aTerm, Offset aTrustedFrom) const
{
  auto record = m_leadership.RecordFor(aNow, aTerm, m_sequence);
  record.m_trustedFrom = aTrustedFrom;
  return Pack(record);
}

/** Adds blocks of assignments to the records that are to be appended. */
void
Ownership::AddBlocks(const std::string& aService,
                     const std::vector<RangeManager::StoreBlock>& aBlocks)
{
  for (const auto& block : aBlocks) {
    m_appending.push_back(
      { 0, BlockKey(aService, block.m_block), Pack(block.m_assignments) });
  }
}

void
Ownership::Append()
{
  if (!m_leadership.Leads() || m_writer.IsBusy()) {
    return;
  }
  m_appendSentAt = BootClock::now();
  m_writer.Call(m_protocol.m_store.m_append(kTopic, m_end, m_appending),
                kStoreTimeout,
                [this](const CallResult& aResult) {
                  OnAppend(m_protocol.m_store.m_parseAppend(aResult));
                });
}

void
Ownership::OnAppend(const AppendOutcome& aOutcome)
{
  if (!m_leadership.Leads() || !IsOfKnownEra(aOutcome.m_era)) {
    return;
  }
  switch (aOutcome.m_answer) {
    case StoreAnswer::Ok:
      OnAppended(aOutcome.m_end);
      return;
    case StoreAnswer::Conflict:
    case StoreAnswer::NoAnswer:
      ResolveAppend();
      return;
    default:
      m_storeTimer.Start(kStoreRetry);
  }
}

/** Reads the newest records to determine the outcome of an append. The append
    or an earlier attempt of it may have succeeded, or another daemon may have
    claimed leadership. */
void
Ownership::ResolveAppend()
{
  m_writer.Call(m_protocol.m_store.m_newest(kTopic, ""),
                kStoreTimeout,
                [this](const CallResult& aResult) {
                  OnAppendResolved(m_protocol.m_store.m_parseNewest(aResult));
                });
}

void
Ownership::OnAppendResolved(const KeyedPage& aPage)
{
  if (!m_leadership.Leads()) {
    return;
  }
  if (!IsOfKnownEra(aPage.m_era)) {
    return;
  }
  if (aPage.m_answer != StoreAnswer::Ok || aPage.m_era != m_leadership.Era()) {
    m_storeTimer.Start(kStoreRetry);
    return;
  }
  for (const auto& record : aPage.m_records) {
    if (record.m_key != kLeaderKey) {
      continue;
    }
    const auto leader = UnpackLeader(record);
    if (!leader) {
      break;
    }
    if (leader->m_era && *leader->m_era < m_leadership.Era()) {
      // An append of before a restore reached the restored store late.
      BeginReclaim();
      return;
    }
    if (leader->m_leader != m_gossip.Self() ||
        leader->m_term != m_claim.m_term) {
      const TimePoint now = BootClock::now();
      m_leadership.OnRecord(now, *leader);
      m_leadership.Yield(now);
      StepDown("another daemon has claimed");
      return;
    }
    if (leader->m_sequence == m_sequence) {
      OnAppended(aPage.m_end);
      return;
    }
  }
  m_end = aPage.m_end;
  m_storeTimer.Start(kStoreRetry);
}

void
Ownership::OnAppended(Offset aEnd)
{
  const TimePoint now = BootClock::now();
  m_end = aEnd;
  // The store would have rejected the append if another daemon had claimed
  // leadership before.
  m_leadership.OnTermConfirmed(m_appendSentAt, m_leadership.Era());
  m_appendedAt = now;
  m_appending.clear();
  m_appendBusy = false;
  for (auto& [name, ledService] : m_ledServices) {
    ledService.m_rangeManager.OnStored(now);
  }
  TickSoon();
}

} // namespace sapphirehook
