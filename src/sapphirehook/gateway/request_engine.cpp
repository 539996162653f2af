#include "sapphirehook/gateway/request_engine.hpp"

#include "sapphirehook/core/hash.hpp"
#include "sapphirehook/gateway/internal/answers.hpp"
#include "sapphirehook/gateway/internal/service_time.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace sapphirehook {

using namespace internal;

namespace {

/** Time within which a daemon with stale routes reads the current ones, unless
    the store is unavailable. */
constexpr Millis kRouteReadTime{ 300 };
/** Upper bound of a caller's deadline. Routes have far shorter timeouts. */
constexpr Millis kMaxDeadline = std::chrono::hours(1);
/** Retry-After of a request for a route that this version cannot apply. Another
    host may run a version that can. */
constexpr Millis kUnusableRouteRetry{ 1000 };
/** Size in bytes from which a body is rejected while memory is short. */
constexpr std::uint64_t kLargeBody = 65'536;
/** Time over which the callers of a limited key are asked to come back. */
constexpr Millis kKeyLimitRetry{ 1000 };
/** Extra latency of an answer from another zone. */
constexpr Millis kZoneCost{ 3 };
/** Latency that the choice of an endpoint adds for an upload to another zone.
    It is higher because the bytes of large bodies between zones cost more. */
constexpr Millis kUploadZoneCost{ 150 };
/** Time before the end of a stopping process at which it answers all unanswered
    requests, so that the answers reach the callers before the connections
    close. */
constexpr Millis kFinalAnswerTime{ 250 };

} // namespace

RequestEngine::RequestEngine(EventLoop& aLoop,
                             const GatewayProtocol& aProtocol,
                             EventLog& aLog,
                             EngineSettings aSettings)
  : m_loop(aLoop)
  , m_protocol(aProtocol)
  , m_log(aLog)
  , m_settings(std::move(aSettings))
  , m_chooser(m_settings.m_seed)
  , m_downloads(m_settings.m_linkMbps)
  , m_admission(m_settings.m_seed)
  , m_hosts(m_settings.m_host)
  , m_budget(std::make_shared<MemoryBudget>(m_settings.m_bufferBytes))
{
}

RequestEngine::~RequestEngine() = default;

void
RequestEngine::SetRoutes(std::shared_ptr<const RouteTable> aRoutes)
{
  m_routes = std::move(aRoutes);
  m_admission.SetRoutes(m_routes->Config());
  std::set<std::string> names;
  for (const auto& route : m_routes->Config().m_routes) {
    names.insert(route.m_name);
  }
  std::erase_if(m_firstAttempts, [&](const auto& aEntry) {
    return !names.contains(aEntry.first);
  });
}

void
RequestEngine::SetEndpoints(TimePoint aNow, const EndpointDirectory& aDirectory)
{
  for (const auto& [name, known] : aDirectory.All()) {
    const auto& record = known.m_record;
    auto& endpoint = m_endpoints[name];
    if (endpoint && endpoint->m_record.m_incarnation != record.m_incarnation) {
      // Requests in flight belong to the previous incarnation.
      m_loop.Retire(std::shared_ptr<Endpoint>(endpoint.release()));
    }
    if (!endpoint) {
      endpoint = std::make_unique<Endpoint>(record);
    }
    endpoint->m_record = record;
    endpoint->m_usable = aDirectory.IsUsable(aNow, known);
    UpdateColdStart(aNow, aDirectory, known, *endpoint);
  }
  std::erase_if(m_endpoints, [&](const auto& aEntry) {
    return aDirectory.Find(aEntry.first) == nullptr;
  });
  IndexEndpoints();
}

void
RequestEngine::IndexEndpoints()
{
  for (auto& [name, service] : m_services) {
    service.m_localZone.clear();
    service.m_otherZones.clear();
  }
  for (const auto& [name, endpoint] : m_endpoints) {
    auto& service = ServiceOf(endpoint->m_record.m_service);
    const bool isLocal = endpoint->m_record.m_zone == m_settings.m_zone;
    (isLocal ? service.m_localZone : service.m_otherZones)
      .push_back(endpoint.get());
  }
  ChooseSubsets();
}

RequestEngine::Service&
RequestEngine::ServiceOf(const std::string& aName)
{
  const auto found = m_services.find(aName);
  if (found != m_services.end()) {
    return found->second;
  }
  auto& service =
    m_services.emplace(aName, Service(m_settings.m_budget)).first->second;
  service.m_budget.SetDaemons(m_daemons);
  return service;
}

void
RequestEngine::SetRange(const std::string& aService, const RangeRoute& aRoute)
{
  ServiceOf(aService).m_ranges.Assign(aRoute);
}

void
RequestEngine::SetKeyLimits(const std::string& aService,
                            const std::vector<KeyLimit>& aLimits)
{
  ServiceOf(aService).m_keyAdmission.Set(BootClock::now(), aLimits);
}

void
RequestEngine::SetDaemons(std::size_t aDaemons)
{
  const auto before =
    std::exchange(m_daemons, std::max<std::size_t>(aDaemons, 1));
  m_chooser.SetDaemons(m_daemons);
  m_hosts.RaiseCount(m_daemons);
  m_admission.SetDaemons(m_daemons);
  if (m_daemons != before) {
    ChooseSubsets();
  }
  for (auto& [name, service] : m_services) {
    service.m_budget.SetDaemons(m_daemons);
  }
}

void
RequestEngine::SetBudget(BudgetConfig aBudget)
{
  m_settings.m_budget = aBudget;
  for (auto& [name, service] : m_services) {
    service.m_budget.SetConfig(aBudget);
  }
}

std::vector<KeyCount>
RequestEngine::TakeKeyCounts(const std::string& aService)
{
  return ServiceOf(aService).m_keyCounter.Take();
}

void
RequestEngine::AcceptCaller(int aSocket)
{
  auto connection =
    std::make_shared<CallerConnection>(m_loop, *this, m_heldBytes, m_budget);
  if (m_stopping) {
    connection->BeginStop();
  }
  m_callers.emplace(connection.get(), connection);
  connection->Start(aSocket);
}

void
RequestEngine::BeginStop(TimePoint aLastArrival, TimePoint aEnd)
{
  m_stopping = true;
  m_lastArrival = aLastArrival;
  m_stopEnd = aEnd;
  m_finalAnswerAt = aEnd - kFinalAnswerTime;
  for (const auto& transaction : m_open) {
    ArmTimer(transaction);
  }
  for (const auto& [raw, connection] : m_callers) {
    connection->BeginStop();
  }
}

void
RequestEngine::CloseIdleCallers()
{
  const auto callers = m_callers;
  for (const auto& [raw, connection] : callers) {
    connection->CloseIfIdle();
  }
}

std::size_t
RequestEngine::Unanswered() const
{
  return static_cast<std::size_t>(
    std::count_if(m_callers.begin(), m_callers.end(), [](const auto& aEntry) {
      return aEntry.second->IsBusy();
    }));
}

void
RequestEngine::OnClosed(CallerConnection& aConnection)
{
  const auto found = m_callers.find(&aConnection);
  if (found != m_callers.end()) {
    m_loop.Retire(found->second);
    m_callers.erase(found);
  }
}

const CallerLimits&
RequestEngine::Limits() const
{
  return m_routes ? m_routes->Config().m_limits : m_defaultLimits;
}

bool
RequestEngine::MayRunEarly(const RequestHead& aHead) const
{
  const auto* host = FindHeader(aHead.m_headers, "Host");
  const Route* route = m_routes && host != nullptr
                         ? m_routes->Find(*host, aHead.m_target)
                         : nullptr;
  return route != nullptr && IsIdempotent(route->m_kind);
}

TransactionPtr
RequestEngine::OnRequest(AnswerSink& aSink,
                         RequestHead&& aHead,
                         const RequestArrival& aArrival)
{
  if (!m_routes) {
    AnswerDirectly(aSink, kUnavailable, "no configuration yet", kRouteReadTime);
    return nullptr;
  }
  const auto* host = FindHeader(aHead.m_headers, "Host");
  if (host == nullptr || aHead.m_target.empty() ||
      aHead.m_target.front() != '/') {
    AnswerDirectly(aSink, kBadRequest, "no host or no path", std::nullopt);
    return nullptr;
  }
  const Route* route = m_routes->Find(*host, aHead.m_target);
  const bool isUnusable = route != nullptr
                            ? !route->m_isUsable
                            : m_routes->MayHaveUnknownRoute(*host);
  if (isUnusable) {
    ++m_metrics.m_unusableRoutes;
    AnswerDirectly(aSink,
                   kUnavailable,
                   "the route is not supported by this version",
                   kUnusableRouteRetry);
    return nullptr;
  }
  if (route == nullptr) {
    ++m_metrics.m_unrouted;
    if (m_routesMayBeStale && m_routesMayBeStale()) {
      AnswerDirectly(aSink, kUnavailable, "no route known yet", kRouteReadTime);
    } else {
      AnswerDirectly(aSink, kNotFound, "no route", std::nullopt);
    }
    return nullptr;
  }
  auto transaction = std::make_shared<Transaction>();
  transaction->m_head = std::move(aHead);
  transaction->m_routes = m_routes;
  transaction->m_route = route;
  transaction->m_sink = &aSink;
  transaction->m_bodyBytes.Attach(m_budget);
  if (!Admit(transaction, aArrival)) {
    return nullptr;
  }
  if (const auto reason = ReasonToRefuse(BootClock::now(), *transaction)) {
    Refuse(transaction, *reason, Millis(0));
    return nullptr;
  }
  if (transaction->m_key &&
      !ServiceOf(transaction->m_service)
         .m_keyAdmission.Admit(BootClock::now(), *transaction->m_key)) {
    // The attempt id spreads the callers that come back.
    const auto spread =
      Millis(StableHash(transaction->m_attemptId) % kKeyLimitRetry.count());
    Refuse(transaction, "key over its limit", spread, kKeyLimitRetry);
    return nullptr;
  }
  if (!ApplyShare(BootClock::now(), transaction)) {
    return nullptr;
  }
  SendOrEnqueue(transaction);
  return transaction->m_done ? nullptr : transaction;
}

bool
RequestEngine::Admit(const TransactionPtr& aTransaction,
                     const RequestArrival& aArrival)
{
  auto& transaction = *aTransaction;
  const auto& headers = transaction.m_head.m_headers;
  const TimePoint now = BootClock::now();
  ++m_metrics.m_requests;
  m_metrics.m_pipelined += aArrival.m_inFront > 0 ? 1 : 0;
  transaction.m_arrivedAt = aArrival.m_at;
  transaction.m_inFront = aArrival.m_inFront;
  transaction.m_waitStartedAt = now;
  if (const auto* id = FindHeader(headers, m_protocol.m_attemptHeader)) {
    transaction.m_attemptId = *id;
  }
  const auto& route = *transaction.m_route;
  transaction.m_objectiveAt = aArrival.m_at + route.m_objective;
  transaction.m_deadline = aArrival.m_at + route.m_timeout;
  transaction.m_callerDeadline = transaction.m_deadline;
  if (const auto* text = FindHeader(headers, m_protocol.m_deadlineHeader)) {
    if (const auto millis = ParseWholeNumber(*text)) {
      transaction.m_callerDeadline =
        aArrival.m_at +
        Millis(std::min<std::uint64_t>(*millis, kMaxDeadline.count()));
      constexpr int kMaxTimeouts = 4; // callers wait for a few attempts
      transaction.m_objectiveAt -= m_firstAttempts[route.m_name].OnRequest(
        now,
        transaction.m_callerDeadline - aArrival.m_at,
        kMaxTimeouts * route.m_timeout);
      transaction.m_deadline =
        std::min(transaction.m_deadline, transaction.m_callerDeadline);
    }
  }
  auto& roundRobin = m_roundRobins[route.m_name];
  transaction.m_service =
    route
      .m_targets[route.m_targets.size() > 1 ? roundRobin.Next(route.m_targets)
                                            : 0]
      .m_service;
  auto& service = ServiceOf(transaction.m_service);
  service.m_budget.OnRequest(now);
  const auto* spec = transaction.m_routes->Service(transaction.m_service);
  if (spec != nullptr && spec->m_keyed) {
    const auto* text = FindHeader(headers, m_protocol.m_keyHeader);
    const auto key = text != nullptr ? ParseWholeNumber(*text) : std::nullopt;
    if (!key || *key >= kKeyCount) {
      AnswerDirectly(*transaction.m_sink, kBadRequest, "no key", std::nullopt);
      return false;
    }
    transaction.m_key = static_cast<Key>(*key);
    service.m_keyCounter.Count(*transaction.m_key);
  }
  transaction.m_timer = std::make_unique<Timer>(
    m_loop, [this, weak = std::weak_ptr<Transaction>(aTransaction)] {
      if (const auto locked = weak.lock()) {
        OnTimer(locked);
      }
    });
  m_open.insert(aTransaction);
  return true;
}

std::optional<std::string_view>
RequestEngine::ReasonToRefuse(TimePoint aNow,
                              const Transaction& aTransaction) const
{
  if (aNow >= aTransaction.m_deadline) {
    return "deadline passed behind other requests";
  }
  const auto& head = aTransaction.m_head;
  const bool hasLargeBody =
    head.m_hasBody && head.m_bodySize.value_or(kLargeBody) >= kLargeBody;
  if (hasLargeBody && !m_budget->HasRoomForBody()) {
    return "not enough memory for the body";
  }
  const bool isLate =
    aNow > m_lastArrival && aTransaction.m_deadline > m_stopEnd;
  if (m_stopping && (isLate || aNow >= m_finalAnswerAt)) {
    return "stopping";
  }
  return std::nullopt;
}

RequestEngine::Endpoint*
RequestEngine::Choose(TimePoint aNow, const Transaction& aTransaction)
{
  if (aNow < aTransaction.m_notBefore) {
    return nullptr;
  }
  if (!HasLinkCapacity(aTransaction)) {
    return nullptr;
  }
  return aTransaction.m_key
           ? ChooseHolder(aNow, aTransaction)
           : ChooseAny(aNow, aTransaction, ServiceOf(aTransaction.m_service));
}

RequestEngine::Endpoint*
RequestEngine::ChooseHolder(TimePoint aNow, const Transaction& aTransaction)
{
  auto* holder = HolderOf(aTransaction);
  if (holder == nullptr) {
    return nullptr;
  }
  return HasCapacity(aNow, *holder, aTransaction) ? holder : nullptr;
}

bool
RequestEngine::HasCapacity(TimePoint aNow,
                           const Endpoint& aEndpoint,
                           const Transaction& aTransaction) const
{
  const auto& load = aEndpoint.m_load;
  // An evacuated endpoint serves its keys until they have moved.
  const bool isUsable =
    aEndpoint.m_usable ||
    (aTransaction.m_key.has_value() && aNow < aEndpoint.m_servesKeysUntil);
  return isUsable && !load.IsEjected(aNow) &&
         load.HasCapacity(
           aNow,
           m_admission.ReserveFor(aTransaction.m_service,
                                  KindOf(*aTransaction.m_route))) &&
         AdmitsCold(aNow, aTransaction, aEndpoint);
}

/** Returns the endpoint that holds a request's key, or null while the key moves
    between endpoints. */
RequestEngine::Endpoint*
RequestEngine::HolderOf(const Transaction& aTransaction)
{
  const auto* route =
    ServiceOf(aTransaction.m_service).m_ranges.Find(*aTransaction.m_key);
  if (route == nullptr || !route->m_ready) {
    return nullptr;
  }
  const auto found = m_endpoints.find(route->m_endpoint);
  return found == m_endpoints.end() ? nullptr : found->second.get();
}

RequestEngine::Endpoint*
RequestEngine::ChooseAny(TimePoint aNow,
                         const Transaction& aTransaction,
                         const Service& aService)
{
  const auto zoneCost = aTransaction.m_route->m_kind == RequestKind::Upload
                          ? kUploadZoneCost
                          : kZoneCost;
  const double work = aService.m_work.Relative(KindOf(*aTransaction.m_route));
  const auto cost =
    [&](const Endpoint& aEndpoint) -> std::optional<std::chrono::nanoseconds> {
    const auto& load = aEndpoint.m_load;
    if (!HasCapacity(aNow, aEndpoint, aTransaction)) {
      return std::nullopt;
    }
    auto time = load.ExpectedFinish(
      aNow, aService.m_meanServiceTime, m_chooser.OwnWeight(), work);
    if (aEndpoint.m_record.m_zone != m_settings.m_zone) {
      time += zoneCost;
    }
    if (aTransaction.m_triedEndpoints.contains(
          aEndpoint.m_record.m_incarnation.m_name)) {
      time *= 4; // prefers an endpoint that has not been tried
    }
    if (aNow < aEndpoint.m_warmAt) {
      time *= 2;
    }
    return time;
  };
  auto* endpoint = m_chooser.Choose<Endpoint>(
    aService.m_localSubset, aService.m_otherSubset, cost);
  return endpoint != nullptr ? endpoint
                             : m_chooser.Choose<Endpoint>(aService.m_localZone,
                                                          aService.m_otherZones,
                                                          cost);
}

} // namespace sapphirehook
