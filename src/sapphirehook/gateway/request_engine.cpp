#include "sapphirehook/gateway/request_engine.hpp"

#include "sapphirehook/core/hash.hpp"
#include "sapphirehook/gateway/internal/answers.hpp"
#include "sapphirehook/gateway/internal/service_time.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

using namespace internal;

namespace {

/** A daemon that may lack routes has read them within this time, unless the
    store is away. */
constexpr Millis kRoutesReadWithin{ 300 };
/** Time in which answers are late by being brought from another zone. */
constexpr Millis kZoneCost{ 3 };
/** The same for large bodies, whose bytes between zones cost more. */
constexpr Millis kZoneCostOfBody{ 150 };

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
{
}

RequestEngine::~RequestEngine() = default;

void
RequestEngine::SetRoutes(std::shared_ptr<const RouteTable> aRoutes)
{
  m_routes = std::move(aRoutes);
}

void
RequestEngine::SetEndpoints(TimePoint aNow, const EndpointDirectory& aDirectory)
{
  for (const auto& [name, known] : aDirectory.All()) {
    const auto& record = known.m_record;
    auto& endpoint = m_endpoints[name];
    if (endpoint && endpoint->m_record.m_incarnation != record.m_incarnation) {
      // What is still under way belongs to the life before.
      m_loop.Retire(std::shared_ptr<Endpoint>(endpoint.release()));
    }
    if (!endpoint) {
      endpoint = std::make_unique<Endpoint>(record);
    }
    endpoint->m_record = record;
    endpoint->m_usable = aDirectory.IsUsable(aNow, known);
    endpoint->m_warmAt = known.m_warmAt;
  }
  std::erase_if(m_endpoints, [&](const auto& aOne) {
    return aDirectory.Find(aOne.first) == nullptr;
  });
  IndexEndpoints();
}

void
RequestEngine::IndexEndpoints()
{
  for (auto& [name, service] : m_services) {
    service.m_near.clear();
    service.m_far.clear();
  }
  for (const auto& [name, endpoint] : m_endpoints) {
    auto& service = ServiceOf(endpoint->m_record.m_service);
    const bool near = endpoint->m_record.m_zone == m_settings.m_zone;
    (near ? service.m_near : service.m_far).push_back(endpoint.get());
  }
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
RequestEngine::SetDaemons(std::size_t aDaemons)
{
  m_daemons = std::max<std::size_t>(aDaemons, 1);
  m_chooser.SetDaemons(m_daemons);
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
  auto connection = std::make_shared<CallerConnection>(m_loop, *this);
  m_callers.emplace(connection.get(), connection);
  connection->Start(aSocket);
}

void
RequestEngine::BeginStop()
{
  m_stopping = true;
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
    std::count_if(m_callers.begin(), m_callers.end(), [](const auto& aOne) {
      return aOne.second->IsBusy();
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

TransactionPtr
RequestEngine::OnRequest(AnswerSink& aSink, RequestHead&& aHead)
{
  if (!m_routes) {
    AnswerDirectly(
      aSink, kUnavailable, "no configuration yet", kRoutesReadWithin);
    return nullptr;
  }
  const auto* host = FindHeader(aHead.m_headers, "Host");
  if (host == nullptr || aHead.m_target.empty() ||
      aHead.m_target.front() != '/') {
    AnswerDirectly(aSink, kBadRequest, "no host or no path", std::nullopt);
    return nullptr;
  }
  const Route* route = m_routes->Find(*host, aHead.m_target);
  if (route == nullptr) {
    ++m_metrics.m_unrouted;
    if (m_mayLackRoutes && m_mayLackRoutes()) {
      AnswerDirectly(
        aSink, kUnavailable, "no route known yet", kRoutesReadWithin);
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
  if (!Admit(transaction)) {
    return nullptr;
  }
  Place(transaction);
  return transaction->m_done ? nullptr : transaction;
}

bool
RequestEngine::Admit(const TransactionPtr& aTransaction)
{
  auto& transaction = *aTransaction;
  const auto& headers = transaction.m_head.m_headers;
  const TimePoint now = BootClock::now();
  ++m_metrics.m_requests;
  transaction.m_arrivedAt = now;
  transaction.m_waitsFrom = now;
  if (const auto* id = FindHeader(headers, m_protocol.m_attemptHeader)) {
    transaction.m_attemptId = *id;
  }
  const auto& route = *transaction.m_route;
  transaction.m_objectiveAt = now + route.m_objective;
  transaction.m_deadline = now + route.m_timeout;
  transaction.m_callerDeadline = transaction.m_deadline;
  if (const auto* text = FindHeader(headers, m_protocol.m_deadlineHeader)) {
    if (const auto millis = ParseWholeNumber(*text)) {
      transaction.m_callerDeadline =
        now + Millis(static_cast<Millis::rep>(*millis));
      transaction.m_deadline =
        std::min(transaction.m_deadline, transaction.m_callerDeadline);
    }
  }
  auto& turn = m_turns[route.m_name];
  transaction.m_service =
    route.m_targets[route.m_targets.size() > 1 ? turn.Next(route.m_targets) : 0]
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
  return true;
}

void
RequestEngine::Place(const TransactionPtr& aTransaction)
{
  const TimePoint now = BootClock::now();
  auto* endpoint = Choose(now, *aTransaction);
  if (endpoint != nullptr) {
    SendTo(now, aTransaction, *endpoint);
  } else {
    const auto wait = ExpectedWait(now, *aTransaction);
    const auto most = WaitsUntil(*aTransaction) - now;
    if (wait > most && !aTransaction->m_mayHaveRun) {
      Refuse(aTransaction, "too many wait", wait - most);
      return;
    }
    Enqueue(aTransaction);
  }
  if (!aTransaction->m_done) {
    ArmTimer(aTransaction);
  }
}

std::chrono::nanoseconds
RequestEngine::ExpectedWait(TimePoint aNow, const Transaction& aTransaction)
{
  auto& service = ServiceOf(aTransaction.m_service);
  if (aTransaction.m_key) {
    const auto* holder = HolderOf(aTransaction);
    return holder != nullptr
             ? holder->m_load.ExpectedWait(aNow, service.m_typical)
             : std::chrono::nanoseconds(0);
  }
  // Each daemon is taken to have as many waiting as this one, and all endpoints
  // to be busy.
  std::chrono::duration<double> typical = service.m_typical;
  double perSecond = 0.0;
  for (const auto* endpoints : { &service.m_near, &service.m_far }) {
    for (const auto* endpoint : *endpoints) {
      perSecond +=
        endpoint->m_usable ? static_cast<double>(endpoint->m_load.Slots()) : 0;
    }
  }
  perSecond /= std::max(typical.count(), kLeastServiceSeconds);
  const auto waiting =
    static_cast<double>(service.m_waiting.size() * m_daemons);
  return perSecond <= 0.0
           ? std::chrono::nanoseconds(0)
           : std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::duration<double>(waiting / perSecond));
}

RequestEngine::Endpoint*
RequestEngine::Choose(TimePoint aNow, const Transaction& aTransaction)
{
  if (aNow < aTransaction.m_notBefore) {
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
  const bool free = holder->m_usable && holder->m_load.HasCapacity(aNow) &&
                    !holder->m_load.IsEjected(aNow);
  return free ? holder : nullptr;
}

/** Returns the endpoint that holds a request's key; null while it is moving. */
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
                          ? kZoneCostOfBody
                          : kZoneCost;
  const auto cost =
    [&](const Endpoint& aEndpoint) -> std::optional<std::chrono::nanoseconds> {
    const auto& load = aEndpoint.m_load;
    if (!aEndpoint.m_usable || !load.HasCapacity(aNow) ||
        load.IsEjected(aNow)) {
      return std::nullopt;
    }
    auto time =
      load.ExpectedFinish(aNow, aService.m_typical, m_chooser.OwnWeight());
    if (aEndpoint.m_record.m_zone != m_settings.m_zone) {
      time += zoneCost;
    }
    if (aTransaction.m_tried.contains(
          aEndpoint.m_record.m_incarnation.m_name)) {
      time *= 4; // another endpoint first
    }
    if (aNow < aEndpoint.m_warmAt) {
      time *= 2;
    }
    return time;
  };
  return m_chooser.Choose<Endpoint>(aService.m_near, aService.m_far, cost);
}

void
RequestEngine::Enqueue(const TransactionPtr& aTransaction)
{
  auto& waiting = ServiceOf(aTransaction->m_service).m_waiting;
  const auto isBefore = [](const auto& aLeft, const auto& aRight) {
    return std::pair(aLeft->m_route->m_priority, aLeft->m_objectiveAt) <
           std::pair(aRight->m_route->m_priority, aRight->m_objectiveAt);
  };
  const auto at =
    std::upper_bound(waiting.begin(), waiting.end(), aTransaction, isBefore);
  waiting.insert(at, aTransaction);
  aTransaction->m_waiting = true;
  if (aTransaction->m_key) {
    if (auto* holder = HolderOf(*aTransaction)) {
      holder->m_load.OnWaitBegins();
      aTransaction->m_waitsFor = holder->m_record.m_incarnation.m_name;
    }
  }
}

void
RequestEngine::Dequeue(const TransactionPtr& aTransaction)
{
  if (aTransaction->m_waiting) {
    aTransaction->m_waiting = false;
    ServiceOf(aTransaction->m_service).m_waiting.remove(aTransaction);
    const auto waitsFor = std::exchange(aTransaction->m_waitsFor, {});
    const auto holder = m_endpoints.find(waitsFor);
    if (holder != m_endpoints.end()) {
      holder->second->m_load.OnWaitEnds();
    }
  }
}

void
RequestEngine::Pump()
{
  if (m_pumping) {
    return;
  }
  m_pumping = true;
  for (auto& [name, service] : m_services) {
    PumpService(service);
  }
  m_pumping = false;
}

void
RequestEngine::PumpService(Service& aService)
{
  const TimePoint now = BootClock::now();
  const auto waiting = aService.m_waiting;
  for (const auto& transaction : waiting) {
    if (!transaction->m_waiting) {
      continue;
    }
    auto* endpoint = Choose(now, *transaction);
    if (endpoint != nullptr) {
      Dequeue(transaction);
      SendTo(now, transaction, *endpoint);
      if (!transaction->m_done) {
        ArmTimer(transaction);
      }
    } else if (!transaction->m_key && now >= transaction->m_notBefore) {
      break; // the others of the service find no room either
    }
  }
}

} // namespace sapphirehook
