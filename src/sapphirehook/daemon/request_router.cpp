#include "sapphirehook/daemon/request_router.hpp"

#include "sapphirehook/core/text.hpp"

#include <algorithm>
#include <charconv>

namespace sapphirehook {

namespace {

constexpr Millis kDeferDelay{ 20 };
constexpr Millis kForwardGrace{ 250 };
constexpr Millis kRepeatRetention{ 600'000 };
constexpr std::size_t kRepeatCapacity = 65536;
constexpr std::size_t kMaxKeyBytes = 1024;
constexpr std::uint64_t kLongBodyBytes = std::uint64_t{ 1 } << 20U;
constexpr std::size_t kQueuePerSlot = 256;

std::string_view
PathOf(const std::string& aTarget)
{
  return std::string_view(aTarget).substr(0, aTarget.find('?'));
}

std::string_view
SegmentOf(std::string_view aPath, std::uint32_t aIndex)
{
  std::uint32_t index = 0;
  std::size_t start = 1;
  while (start <= aPath.size()) {
    const auto end = std::min(aPath.find('/', start), aPath.size());
    if (index == aIndex) {
      return aPath.substr(start, end - start);
    }
    ++index;
    start = end + 1;
  }
  return {};
}

std::optional<Millis>
RequestedDeadline(const RequestHead& aHead)
{
  const auto* text = FindHeader(aHead.m_headers, "Sapphirehook-Deadline-Ms");
  if (text == nullptr) {
    return std::nullopt;
  }
  Millis::rep number = 0;
  const auto* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, number);
  const bool valid =
    parsed.ec == std::errc() && parsed.ptr == end && number >= 0;
  return Millis(valid ? number : 0);
}

bool
IsLong(const Exchange& aExchange)
{
  const auto& head = aExchange.Head();
  return aExchange.m_plan.m_rule.m_long ||
         head.m_bodySize.value_or(0) > kLongBodyBytes;
}

/** Returns the name under which the repeat window records a never-repeat
    request. Empty if the request has no idempotency key or may be repeated. */
std::string
RepeatName(const Exchange& aExchange)
{
  const auto* key = FindHeader(aExchange.Head().m_headers, "Idempotency-Key");
  if (key == nullptr || !aExchange.m_plan.m_rule.m_neverRepeat) {
    return {};
  }
  return Concat(
    aExchange.m_plan.m_service, "\n", aExchange.m_plan.m_key, "\n", *key);
}

} // namespace

std::string
KeyOf(const ServiceConfig& aService, const RequestHead& aHead)
{
  const auto& source = aService.m_keySource;
  if (source.m_header.empty()) {
    return std::string(SegmentOf(PathOf(aHead.m_target), source.m_segment));
  }
  const auto* value = FindHeader(aHead.m_headers, source.m_header);
  return value == nullptr ? std::string() : *value;
}

RequestRouter::RequestRouter(Coordinator& aCoordinator,
                             Metrics& aMetrics,
                             std::size_t aMaxRequests)
  : m_coordinator(aCoordinator)
  , m_metrics(aMetrics)
  , m_maxRequests(aMaxRequests)
  , m_repeats(kRepeatCapacity)
{
}

std::optional<ErrorKind>
RequestRouter::Plan(TimePoint aNow, Exchange& aExchange) const
{
  const auto& state = m_coordinator.State();
  const auto path = PathOf(aExchange.Head().m_target);
  const auto* name = m_coordinator.Owners().FindService(state, path);
  if (name == nullptr) {
    return m_coordinator.IsStale(aNow) ? ErrorKind::Stale
                                       : ErrorKind::UnknownService;
  }
  const auto& service = state.m_services.at(*name);
  auto& plan = aExchange.m_plan;
  plan.m_service = *name;
  plan.m_key = KeyOf(service.m_config, aExchange.Head());
  plan.m_rule = RuleFor(service.m_config, aExchange.Head().m_method, path);
  if (plan.m_key.empty() || plan.m_key.size() > kMaxKeyBytes) {
    return ErrorKind::MissingKey;
  }
  auto deadline = aNow + Millis(plan.m_rule.m_deadlineMs);
  const auto requested = RequestedDeadline(aExchange.Head());
  if (requested && !aExchange.m_forwarded) {
    deadline = std::min(deadline, aNow + *requested);
  }
  if (aExchange.m_forwarded) {
    deadline = std::min(deadline, plan.m_deadline);
  }
  plan.m_deadline = deadline;
  return std::nullopt;
}

void
RequestRouter::Admit(TimePoint aNow, const ExchangePtr& aExchange)
{
  const auto id = aExchange->Id();
  m_active[id] = { aExchange, Stage::Deferred, aNow, aNow, {}, {}, {} };
  m_metrics.Add("sapphirehook_requests_total");
  if (m_active.size() > m_maxRequests) {
    Fail(aNow, id, ErrorKind::Overloaded);
    return;
  }
  const auto refusal = Plan(aNow, *aExchange);
  if (refusal) {
    Fail(aNow, id, *refusal);
    return;
  }
  Dispatch(aNow, m_active.at(id));
}

void
RequestRouter::Defer(TimePoint aNow, Pending& aPending)
{
  if (aPending.m_exchange->m_plan.m_deadline <= aNow) {
    Fail(aNow, aPending.m_exchange->Id(), ErrorKind::DeadlineExceeded);
    return;
  }
  aPending.m_stage = Stage::Deferred;
  aPending.m_retryAt = aNow + kDeferDelay;
  m_deferred.push_back(aPending.m_exchange->Id());
}

void
RequestRouter::Dispatch(TimePoint aNow, Pending& aPending)
{
  const auto exchange = aPending.m_exchange;
  const auto& plan = exchange->m_plan;
  const auto decision = m_coordinator.Route(aNow, plan.m_service, plan.m_key);
  if (decision.m_refusal == ErrorKind::Stale) {
    Fail(aNow, exchange->Id(), ErrorKind::Stale);
    return;
  }
  if (decision.m_local) {
    DispatchLocal(aNow, aPending, decision);
    return;
  }
  if (exchange->m_forwarded) {
    Fail(aNow, exchange->Id(), ErrorKind::NotDispatcher);
    return;
  }
  if (decision.m_refusal) {
    Defer(aNow, aPending);
    return;
  }
  aPending.m_stage = Stage::Forwarded;
  m_actions.emplace_back(
    ForwardRequest{ exchange, decision.m_dispatcherAddress });
  m_metrics.Add("sapphirehook_forwarded_total");
}

void
RequestRouter::DispatchLocal(TimePoint aNow,
                             Pending& aPending,
                             const RouteDecision& aDecision)
{
  const auto exchange = aPending.m_exchange;
  auto& destination = DestinationFor(aNow, aDecision.m_endpoint);
  const bool ready =
    !aDecision.m_refusal && destination.m_usable &&
    m_coordinator.HasAcceptedGrant(aDecision.m_endpoint, aDecision.m_partition);
  if (!ready) {
    Defer(aNow, aPending);
    return;
  }
  if (!AdmitRepeat(aNow, *exchange, aDecision.m_group)) {
    Fail(aNow, exchange->Id(), ErrorKind::Duplicate);
    return;
  }
  if (aPending.m_waitingSince != aNow) {
    m_metrics.ObserveUnavailable(aNow - aPending.m_waitingSince);
  }
  aPending.m_stage = Stage::Queued;
  aPending.m_waitingSince = aNow;
  aPending.m_endpoint = aDecision.m_endpoint;
  aPending.m_partition = aDecision.m_partition;
  const auto rejected = destination.m_queue.Offer(
    aNow, { exchange->Id(), IsLong(*exchange), exchange->m_plan.m_deadline });
  for (const auto id : rejected) {
    Fail(aNow, id, ErrorKind::Overloaded);
  }
  SendQueued(aNow, aDecision.m_endpoint, destination);
}

bool
RequestRouter::AdmitRepeat(TimePoint aNow,
                           Exchange& aExchange,
                           const GroupId& aGroup)
{
  const auto name = RepeatName(aExchange);
  if (name.empty() || aExchange.m_repeatAdmitted) {
    return true;
  }
  const auto* retry =
    FindHeader(aExchange.Head().m_headers, "Sapphirehook-Retry");
  const auto& groups = m_coordinator.State().m_groups;
  const auto group = groups.find(aGroup);
  const bool dispatcherChanged =
    group != groups.end() && group->second.m_term > 1 &&
    aNow - m_coordinator.Groups().LedSince(aGroup) < kRepeatRetention;
  if (retry != nullptr && dispatcherChanged) {
    return false;
  }
  if (m_repeats.Admit(name)) {
    return false;
  }
  aExchange.m_repeatAdmitted = true;
  return true;
}

RequestRouter::Destination&
RequestRouter::DestinationFor(TimePoint aNow, const std::string& aEndpoint)
{
  const auto found = m_destinations.find(aEndpoint);
  if (found != m_destinations.end()) {
    return found->second;
  }
  QueueConfig config;
  Destination destination{
    EndpointQueue(config), std::make_shared<AuthorityCell>(), {}, false
  };
  const auto& endpoints = m_coordinator.State().m_endpoints;
  const auto endpoint = endpoints.find(aEndpoint);
  if (endpoint != endpoints.end()) {
    config.m_slots = endpoint->second.m_config.m_slots;
    config.m_longSlots = std::max<std::size_t>(config.m_slots / 3, 1);
    config.m_shortReserve = config.m_slots > 2 ? config.m_slots / 3 : 0;
    config.m_maxWaiting = config.m_slots * kQueuePerSlot;
    destination.m_queue = EndpointQueue(config);
    destination.m_address = endpoint->second.m_config.m_address;
  }
  auto& added =
    m_destinations.emplace(aEndpoint, std::move(destination)).first->second;
  RefreshDestination(aNow, aEndpoint, added);
  return added;
}

void
RequestRouter::Send(TimePoint aNow,
                    Pending& aPending,
                    Destination& aDestination)
{
  const auto& exchange = aPending.m_exchange;
  const auto& plan = exchange->m_plan;
  const auto packed = PackPartition(aPending.m_partition);
  aPending.m_stage = Stage::Sent;
  ++exchange->m_attempts;
  if (!IsLong(*exchange)) {
    m_metrics.ObserveShortWait(aNow - aPending.m_waitingSince);
  }
  m_coordinator.OnRequestStarted(aPending.m_endpoint,
                                 exchange->Id(),
                                 { plan.m_key, packed, plan.m_deadline });
  m_actions.emplace_back(
    SendRequest{ exchange,
                 aPending.m_endpoint,
                 aDestination.m_address,
                 m_coordinator.AvailabilityOf(aPending.m_endpoint).m_token,
                 packed,
                 aDestination.m_authority });
}

void
RequestRouter::SendQueued(TimePoint aNow,
                          const std::string& aEndpoint,
                          Destination& aDestination)
{
  if (!aDestination.m_usable) {
    return;
  }
  const auto occupied =
    m_coordinator.AvailabilityOf(aEndpoint).m_untrackedRunning;
  while (const auto next = aDestination.m_queue.Next(aNow, occupied)) {
    const auto found = m_active.find(next->m_id);
    if (found == m_active.end()) {
      aDestination.m_queue.OnEnded(aNow, next->m_id, std::nullopt);
      continue;
    }
    if (found->second.m_exchange->IsCanceled()) {
      aDestination.m_queue.OnEnded(aNow, next->m_id, std::nullopt);
      Fail(aNow, next->m_id, ErrorKind::Canceled);
      continue;
    }
    Send(aNow, found->second, aDestination);
  }
}

void
RequestRouter::OnSendEnded(TimePoint aNow, const RequestEnded& aEnded)
{
  const auto id = aEnded.m_exchange->Id();
  const bool wasNotRun =
    aEnded.m_error &&
    AnswerFor(*aEnded.m_error).m_execution == Execution::NotRun;
  m_coordinator.OnRequestEnded(
    aEnded.m_endpoint, id, !aEnded.m_error || wasNotRun);
  auto& destination = DestinationFor(aNow, aEnded.m_endpoint);
  destination.m_queue.OnEnded(
    aNow,
    id,
    aEnded.m_error ? std::nullopt : std::optional(aEnded.m_serviceTime));
  if (aEnded.m_error == ErrorKind::EndpointRefused) {
    destination.m_queue.BackOff();
  }
  const auto name = RepeatName(*aEnded.m_exchange);
  if (!name.empty() && !wasNotRun) {
    m_repeats.OnEnded(
      name, aEnded.m_error ? RepeatState::Unknown : RepeatState::Done);
  }
  const auto found = m_active.find(id);
  if (found != m_active.end()) {
    if (aEnded.m_error) {
      EndAttempt(aNow, found->second, *aEnded.m_error);
    } else {
      m_metrics.CountServed(aEnded.m_endpoint);
      Finish(aNow, id);
    }
  }
  SendQueued(aNow, aEnded.m_endpoint, destination);
}

void
RequestRouter::OnForwardEnded(TimePoint aNow, const ForwardEnded& aEnded)
{
  const auto id = aEnded.m_exchange->Id();
  const auto found = m_active.find(id);
  if (found == m_active.end()) {
    return;
  }
  if (aEnded.m_error) {
    EndAttempt(aNow, found->second, *aEnded.m_error);
  } else {
    Finish(aNow, id);
  }
}

void
RequestRouter::EndAttempt(TimePoint aNow, Pending& aPending, ErrorKind aError)
{
  const auto exchange = aPending.m_exchange;
  const auto& answer = AnswerFor(aError);
  if (exchange->IsCanceled()) {
    Fail(aNow, exchange->Id(), ErrorKind::Canceled);
    return;
  }
  const bool notRun = answer.m_execution == Execution::NotRun;
  exchange->m_mayHaveRun = exchange->m_mayHaveRun || !notRun;
  const bool repeatable = notRun ? answer.m_reroutable
                                 : !exchange->m_plan.m_rule.m_neverRepeat &&
                                     !exchange->m_forwarded &&
                                     aError != ErrorKind::Duplicate;
  const bool beforeDeadline = aNow < exchange->m_plan.m_deadline;
  const bool retry = repeatable && beforeDeadline && !exchange->IsAnswered() &&
                     exchange->RequestBody().Rewind() &&
                     (notRun || m_budget.TryTake());
  if (!retry) {
    Fail(aNow, exchange->Id(), aError);
    return;
  }
  m_metrics.Add("sapphirehook_retries_total");
  aPending.m_waitingSince = aNow;
  Defer(aNow, aPending);
}

void
RequestRouter::Finish(TimePoint aNow, std::uint64_t aId)
{
  const auto found = m_active.find(aId);
  if (found == m_active.end()) {
    return;
  }
  m_budget.OnSuccess();
  m_metrics.ObserveRequest(aNow - found->second.m_arrived);
  m_active.erase(found);
}

void
RequestRouter::Fail(TimePoint /*aNow*/, std::uint64_t aId, ErrorKind aKind)
{
  const auto found = m_active.find(aId);
  if (found == m_active.end()) {
    return;
  }
  const auto exchange = std::move(found->second.m_exchange);
  m_active.erase(found);
  const bool notRun = AnswerFor(aKind).m_execution == Execution::NotRun;
  const auto kind =
    notRun && exchange->m_mayHaveRun ? ErrorKind::AnswerTimeout : aKind;
  const auto name = RepeatName(*exchange);
  if (notRun && exchange->m_repeatAdmitted) {
    m_repeats.Forget(name);
  }
  m_metrics.CountError(kind);
  exchange->Fail(kind);
}

void
RequestRouter::RefreshDestination(TimePoint aNow,
                                  const std::string& aEndpoint,
                                  Destination& aDestination)
{
  const auto availability = m_coordinator.AvailabilityOf(aEndpoint);
  aDestination.m_authority->m_until.store(
    availability.m_usableUntil.time_since_epoch().count());
  const bool usable = aNow < availability.m_usableUntil;
  if (usable && !aDestination.m_usable) {
    aDestination.m_queue.StartCold();
  }
  aDestination.m_usable = usable;
}

void
RequestRouter::RefreshDestinations(TimePoint aNow)
{
  std::erase_if(m_destinations, [&](const auto& aEntry) {
    const auto& queue = aEntry.second.m_queue;
    return !m_coordinator.State().m_endpoints.contains(aEntry.first) &&
           queue.Running() + queue.Waiting() == 0;
  });
  for (auto& [name, destination] : m_destinations) {
    RefreshDestination(aNow, name, destination);
    for (const auto id : destination.m_queue.Expire(aNow)) {
      Fail(aNow, id, ErrorKind::DeadlineExceeded);
    }
  }
}

void
RequestRouter::RerouteQueued(TimePoint aNow)
{
  const auto offset = m_coordinator.State().m_nextOffset;
  const bool changed = offset != m_routedOffset;
  m_routedOffset = offset;
  std::vector<std::uint64_t> rerouted;
  for (const auto& [id, active] : m_active) {
    if (active.m_stage != Stage::Queued) {
      continue;
    }
    const bool usable = m_destinations.at(active.m_endpoint).m_usable;
    if (!changed && usable) {
      continue;
    }
    const auto& plan = active.m_exchange->m_plan;
    const auto decision = m_coordinator.Route(aNow, plan.m_service, plan.m_key);
    const bool sameEndpoint = usable && decision.m_local &&
                              !decision.m_refusal &&
                              decision.m_endpoint == active.m_endpoint;
    if (!sameEndpoint) {
      rerouted.push_back(id);
    }
  }
  for (const auto id : rerouted) {
    const auto found = m_active.find(id);
    if (found == m_active.end()) {
      continue;
    }
    auto& active = found->second;
    m_destinations.at(active.m_endpoint).m_queue.Remove(id);
    Defer(aNow, active);
  }
  if (changed) {
    for (const auto id : m_deferred) {
      const auto found = m_active.find(id);
      if (found != m_active.end()) {
        found->second.m_retryAt = aNow;
      }
    }
  }
}

void
RequestRouter::RetryDeferred(TimePoint aNow)
{
  const auto deferred = std::exchange(m_deferred, {});
  for (const auto id : deferred) {
    const auto found = m_active.find(id);
    if (found == m_active.end() || found->second.m_stage != Stage::Deferred) {
      continue;
    }
    auto& active = found->second;
    if (active.m_exchange->IsCanceled()) {
      Fail(aNow, id, ErrorKind::Canceled);
    } else if (aNow >= active.m_exchange->m_plan.m_deadline) {
      Fail(aNow, id, ErrorKind::DeadlineExceeded);
    } else if (aNow >= active.m_retryAt) {
      Dispatch(aNow, active);
    } else {
      m_deferred.push_back(id);
    }
  }
}

void
RequestRouter::ExpireForwarded(TimePoint aNow)
{
  std::vector<ExchangePtr> expired;
  for (const auto& [id, active] : m_active) {
    const auto limit = active.m_exchange->m_plan.m_deadline + kForwardGrace;
    if (active.m_stage == Stage::Forwarded && aNow > limit) {
      expired.push_back(active.m_exchange);
    }
  }
  for (const auto& exchange : expired) {
    Fail(aNow, exchange->Id(), ErrorKind::AnswerTimeout);
    exchange->Cancel();
  }
}

void
RequestRouter::OnTick(TimePoint aNow)
{
  RefreshDestinations(aNow);
  RerouteQueued(aNow);
  RetryDeferred(aNow);
  ExpireForwarded(aNow);
  for (auto& [name, destination] : m_destinations) {
    SendQueued(aNow, name, destination);
  }
}

std::vector<RouterAction>
RequestRouter::TakeActions()
{
  return std::exchange(m_actions, {});
}

std::map<std::string, std::size_t>
RequestRouter::Waiting() const
{
  std::map<std::string, std::size_t> waiting;
  for (const auto& [name, destination] : m_destinations) {
    waiting[name] = destination.m_queue.Waiting();
  }
  return waiting;
}

} // namespace sapphirehook
