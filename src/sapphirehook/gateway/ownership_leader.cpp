#include "sapphirehook/gateway/ownership.hpp"

#include "sapphirehook/gateway/internal/ownership_records.hpp"

#include <algorithm>
#include <utility>

// The leader's work: orders to endpoints, moves, and what is stored of them.

namespace sapphirehook {

using namespace internal;

namespace {

/** Time between two stores of changes, which gathers moves into few calls. */
constexpr Millis kStoreEvery{ 60 };
/** Wait before a store call that was turned away is made again. */
constexpr Millis kStoreRetry{ 120 };
/** Ranges for each endpoint at the start, so that its keys lie apart; fewer
    where there are many endpoints, since each range is a renewal. */
constexpr std::size_t kRangesPerEndpoint = 6;
constexpr std::size_t kFirstRanges = 500;
/** The first endpoints of a service are waited for this long before its keys
    are dealt out for the first time. */
constexpr Millis kGatherEndpoints{ 400 };
/** Time between two looks at all ranges and endpoints; in between only what
    has changed is looked at. */
constexpr Millis kTickAllEvery{ 100 };
/** The same while grants are left over, so that other events come in between.
 */
constexpr Millis kTickMoreEvery{ 40 };
/** Terms are this far apart in fences: more than a term's changes. */
constexpr unsigned kFenceTermBits = 22;
/** Ranges beyond which no more are moved. */
constexpr std::size_t kMaxRanges = 1500;
/** The grants of an earlier leader are taken to last this long from the start
    of a term: a hold, less the time of a renewal, of the silence by which the
    loss of a leader is noticed, and of the claim. */
constexpr Millis kPresumedHold{ 1500 };

} // namespace

bool
Ownership::CanBegin(TimePoint aNow, const std::string& aService)
{
  const std::string prefix = kRangePrefix + aService + "/";
  const auto stored = m_stored.lower_bound(prefix);
  if (stored != m_stored.end() &&
      stored->first.compare(0, prefix.size(), prefix) == 0) {
    return true;
  }
  for (const auto& [name, known] : m_directory.All()) {
    if (known.m_record.m_service == aService) {
      const auto since = m_seenSince.try_emplace(aService, aNow).first->second;
      return aNow >= since + kGatherEndpoints;
    }
  }
  return false;
}

void
Ownership::SyncServices(TimePoint aNow)
{
  for (const auto& name : KeyedServices()) {
    if (m_led.contains(name) || !CanBegin(aNow, name)) {
      continue;
    }
    const Fence first = (m_claimTerm << kFenceTermBits) + 1;
    auto& led =
      m_led
        .try_emplace(
          name, m_settings.m_keeper, first, m_leadership.PreviousGrantsExpiry())
        .first->second;
    const std::string prefix = kRangePrefix + name + "/";
    for (const auto& [key, value] : m_stored) {
      if (key.compare(0, prefix.size(), prefix) != 0) {
        continue;
      }
      const auto assignments = Unpack<std::vector<RangeAssignment>>(value);
      if (!assignments.ok()) {
        m_log.Write(LogLine("assignments-unreadable")
                      .Add("key", key)
                      .Add("why", assignments.status().ToString()));
        continue;
      }
      for (const auto& assignment : *assignments) {
        led.m_keeper.Load(assignment, aNow + kPresumedHold);
      }
    }
    std::size_t endpoints = 0;
    for (const auto& [endpoint, known] : m_directory.All()) {
      endpoints += known.m_record.m_service == name ? 1 : 0;
    }
    endpoints = std::max<std::size_t>(endpoints, 1);
    const std::size_t most = std::max(kFirstRanges, endpoints);
    led.m_keeper.CoverAll(
      static_cast<unsigned>(std::min(endpoints * kRangesPerEndpoint, most)));
    // This daemon may know no map yet; the others ask for what differs.
    for (const auto& route : led.m_keeper.Routes()) {
      m_engine.SetRange(name, route);
    }
  }
}

std::vector<RangeManagerEndpoint>
Ownership::KeeperEndpoints(TimePoint aNow, const std::string& aService)
{
  std::vector<RangeManagerEndpoint> endpoints;
  for (const auto& [name, known] : m_directory.All()) {
    if (known.m_record.m_service != aService) {
      continue;
    }
    RangeManagerEndpoint endpoint;
    endpoint.m_incarnation = known.m_record.m_incarnation;
    endpoint.m_usable = m_directory.IsUsable(aNow, known);
    const auto orders = m_orders.find(name);
    if (orders != m_orders.end() &&
        orders->second->Incarnation() == endpoint.m_incarnation) {
      endpoint.m_unresponsive = orders->second->IsSilent(aNow);
      const auto refused = orders->second->RefusedSince();
      const bool asks = refused && m_listReadAt;
      endpoint.m_dead =
        HasEnded({ refused,
                   known.m_removedAt.has_value(),
                   known.m_record.m_draining,
                   asks ? m_listReadAt(*refused) : TimePoint{} });
    }
    endpoint.m_capacity = m_engine.CapacityOf(name);
    endpoints.push_back(std::move(endpoint));
  }
  return endpoints;
}

EndpointOrders*
Ownership::OrdersOf(const std::string& aEndpoint)
{
  const auto* known = m_directory.Find(aEndpoint);
  if (known == nullptr) {
    const auto found = m_orders.find(aEndpoint);
    return found == m_orders.end() ? nullptr : found->second.get();
  }
  auto& orders = m_orders[aEndpoint];
  if (orders && orders->Incarnation() != known->m_record.m_incarnation) {
    orders->GiveUp();
    m_loop.Retire(std::shared_ptr<EndpointOrders>(std::move(orders)));
  }
  if (!orders) {
    const std::string service = known->m_record.m_service;
    orders = std::make_unique<EndpointOrders>(
      m_loop,
      m_protocol,
      known->m_record,
      OrderEvents{
        [this, service](std::uint64_t aId, const CommandResult& aAnswer) {
          const auto led = m_led.find(service);
          if (led != m_led.end()) {
            led->second.m_keeper.OnGrantEnd(BootClock::now(), aId, aAnswer);
            TickSoon();
          }
        },
        [this, service](std::uint64_t aId, const CommandResult& aAnswer) {
          const auto led = m_led.find(service);
          if (led != m_led.end()) {
            led->second.m_keeper.OnReleaseEnd(BootClock::now(), aId, aAnswer);
            TickSoon();
          }
        },
        [this, service, aEndpoint] {
          const auto led = m_led.find(service);
          if (led != m_led.end()) {
            led->second.m_keeper.OnNewConnection(BootClock::now(), aEndpoint);
          }
        } });
  }
  return orders.get();
}

void
Ownership::TickLed()
{
  const TimePoint now = BootClock::now();
  if (!m_leadership.HasAuthority(now)) {
    return;
  }
  const bool all = now >= m_tickAllAt;
  if (all) {
    m_tickAllAt = now + kTickAllEvery;
    SyncServices(now);
  }
  for (auto& [name, led] : m_led) {
    led.m_keeper.SetConfirmedAt(m_leadership.ConfirmedAt());
    led.m_keeper.SetPreviousGrantsExpiry(now,
                                         m_leadership.PreviousGrantsExpiry());
    if (all) {
      led.m_keeper.SetEndpoints(KeeperEndpoints(now, name));
      CarryOut(now, name, led, led.m_keeper.Tick(now));
      if (led.m_keeper.HasMoreGrants()) {
        m_tickAllAt = now + kTickMoreEvery;
      }
    } else {
      CarryOut(now, name, led, led.m_keeper.TickChanged(now));
    }
  }
  StoreChanges();
}

void
Ownership::CarryOut(TimePoint aNow,
                    const std::string& aName,
                    Led& aLed,
                    const RangeManagerActions& aActions)
{
  for (const auto& grant : aActions.m_grants) {
    if (auto* orders = OrdersOf(grant.m_endpoint)) {
      orders->Grant(grant);
    } else {
      aLed.m_keeper.OnGrantEnd(
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
    if (auto* orders = OrdersOf(release.m_endpoint)) {
      orders->Release(release);
    } else {
      aLed.m_keeper.OnReleaseEnd(
        aNow, release.m_id, { CommandOutcome::NotSent, "" });
    }
  }
  m_maps.Publish(aName, aActions.m_routes);
}

void
Ownership::Plan()
{
  const TimePoint now = BootClock::now();
  if (!m_leadership.HasAuthority(now)) {
    return;
  }
  for (auto& [name, led] : m_led) {
    led.m_planner.Add(m_engine.TakeKeyCounts(name));
    led.m_planner.Advance(now);
    const auto ranges = led.m_keeper.Ranges();
    if (ranges.size() > kMaxRanges) {
      continue;
    }
    std::vector<PlannerEndpoint> endpoints;
    for (const auto& endpoint : KeeperEndpoints(now, name)) {
      if (endpoint.m_usable && !endpoint.m_unresponsive && !endpoint.m_dead) {
        endpoints.push_back(
          { endpoint.m_incarnation.m_name, endpoint.m_capacity });
      }
    }
    const auto moves = led.m_planner.Plan(ranges, endpoints);
    for (const auto& move : moves) {
      m_log.Write(
        LogLine("range-moves")
          .Add("service", name)
          .Add("first", move.m_range.m_first)
          .Add("last", move.m_range.m_last)
          .Add("rate", static_cast<int>(led.m_planner.Rate(move.m_range)))
          .Add("to", move.m_to));
      led.m_keeper.Move(now, move.m_range, move.m_to);
    }
  }
  TickSoon();
}

void
Ownership::StoreChanges()
{
  const TimePoint now = BootClock::now();
  if (m_appendBusy || now < m_appendedAt + kStoreEvery) {
    return; // the next round stores what has gathered
  }
  for (auto& [name, led] : m_led) {
    if (!led.m_keeper.HasToStore()) {
      continue;
    }
    for (const auto& block : led.m_keeper.BeginStore()) {
      m_appending.push_back(
        { 0,
          kRangePrefix + name + "/" + std::to_string(block.m_block),
          Pack(block.m_assignments) });
    }
  }
  if (m_appending.empty()) {
    return;
  }
  m_appendBusy = true;
  ++m_sequence;
  m_appending.push_back(
    { 0,
      kLeaderKey,
      Pack(m_leadership.RecordFor(now, m_claimTerm, m_sequence)) });
  Append();
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
  if (!m_leadership.Leads()) {
    return;
  }
  switch (aOutcome.m_answer) {
    case StoreAnswer::Ok:
      OnAppended(aOutcome.m_end);
      return;
    case StoreAnswer::Conflict:
    case StoreAnswer::NoAnswer:
      Settle();
      return;
    default:
      m_storeTimer.Start(kStoreRetry);
  }
}

/** Reads what became of an append: this one, an earlier try of it, or the
    claim of another daemon may have come first. */
void
Ownership::Settle()
{
  m_writer.Call(m_protocol.m_store.m_newest(kTopic, ""),
                kStoreTimeout,
                [this](const CallResult& aResult) {
                  OnSettled(m_protocol.m_store.m_parseNewest(aResult));
                });
}

void
Ownership::OnSettled(const KeyedPage& aPage)
{
  if (!m_leadership.Leads()) {
    return;
  }
  if (aPage.m_answer != StoreAnswer::Ok) {
    m_storeTimer.Start(kStoreRetry);
    return;
  }
  for (const auto& record : aPage.m_records) {
    if (record.m_key != kLeaderKey || !record.m_value) {
      continue;
    }
    const auto leader = Unpack<LeaderRecord>(*record.m_value);
    if (!leader.ok()) {
      break;
    }
    if (leader->m_leader != m_gossip.Self() || leader->m_term != m_claimTerm) {
      m_leadership.OnRecord(BootClock::now(), *leader);
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
  // The store would have refused it, had another daemon claimed before.
  m_leadership.OnTermConfirmed(m_appendSentAt);
  m_appendedAt = now;
  m_appending.clear();
  m_appendBusy = false;
  for (auto& [name, led] : m_led) {
    led.m_keeper.OnStored(now);
  }
  TickSoon();
}

} // namespace sapphirehook
