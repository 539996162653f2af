#include "sapphirehook/gateway/request_engine.hpp"

#include "sapphirehook/core/hash.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace sapphirehook {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMisdirected = 421;
constexpr int kServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/** Largest body, in bytes, that is kept for another attempt. */
constexpr std::size_t kKeptBody = 524'288;
/** Idle connections that are kept to one endpoint. */
constexpr std::size_t kMaxIdle = 8;
/** Time in which answers are late by being brought from another zone. */
constexpr Millis kZoneCost{ 3 };
/** The same for large bodies, whose bytes between zones cost more. */
constexpr Millis kZoneCostOfBody{ 40 };
/** After this part of its objective a request that still waits is refused. */
constexpr double kWaitPart = 0.5;
/** Wait before a key is tried again that its holder refused. */
constexpr Millis kMisdirectedPause{ 30 };
/** No answer is reckoned to take less than this, in seconds. */
constexpr double kLeastServiceSeconds = 0.001;
/** Time after which a refused caller should come back. */
constexpr Millis kRetryAfter{ 120 };

/** Name under which the use by all other daemons together is kept. */
constexpr const char* kFleet = "fleet";

std::uint32_t
ShortHash(const std::string& aName)
{
  return static_cast<std::uint32_t>(StableHash(aName));
}

std::string
SecondsText(std::chrono::nanoseconds aSpan)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(),
                text.size(),
                "%.3f",
                std::chrono::duration<double>(aSpan).count());
  return text.data();
}

std::string_view
KindName(RequestKind aKind)
{
  switch (aKind) {
    case RequestKind::Idempotent:
      return "idempotent";
    case RequestKind::NeverRepeat:
      return "never-repeat";
    case RequestKind::Upload:
      return "upload";
  }
  return "unknown";
}

std::string_view
EndName(AttemptEnd aEnd)
{
  constexpr std::array<std::string_view, 7> kNames{ "answered", "failed",
                                                    "not-run",  "misdirected",
                                                    "not-sent", "lost",
                                                    "abandoned" };
  return kNames.at(static_cast<std::size_t>(aEnd));
}

/** Returns whether the Connection header names another header. */
bool
IsNamedByConnection(const std::string* aConnection, std::string_view aName)
{
  if (aConnection == nullptr) {
    return false;
  }
  std::string_view rest = *aConnection;
  while (!rest.empty()) {
    const auto comma = rest.find(',');
    auto token = rest.substr(0, comma);
    while (!token.empty() && token.front() == ' ') {
      token.remove_prefix(1);
    }
    while (!token.empty() && token.back() == ' ') {
      token.remove_suffix(1);
    }
    if (EqualNoCase(token, aName)) {
      return true;
    }
    rest.remove_prefix(comma == std::string_view::npos ? rest.size()
                                                       : comma + 1);
  }
  return false;
}

} // namespace

RequestEngine::RequestEngine(EventLoop& aLoop,
                             const GatewayProtocol& aProtocol,
                             EventLog& aLog,
                             EngineSettings aSettings)
  : m_loop(aLoop)
  , m_protocol(aProtocol)
  , m_log(aLog)
  , m_settings(std::move(aSettings))
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
    if (endpoint && endpoint->m_record.m_life != record.m_life) {
      // What is still under way belongs to the life before.
      m_loop.Retire(std::shared_ptr<Endpoint>(std::move(endpoint)));
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
  for (auto& [name, service] : m_services) {
    service.m_budget.SetDaemons(m_daemons);
  }
}

void
RequestEngine::OnPeerUse(TimePoint aNow,
                         const std::string& aPeer,
                         const std::vector<EndpointUse>& aUses)
{
  std::map<std::string_view, const EndpointUse*> told;
  for (const auto& use : aUses) {
    told[use.m_endpoint] = &use;
  }
  for (auto& [name, endpoint] : m_endpoints) {
    const auto found = told.find(name);
    endpoint->m_load.OnPeer(
      aNow, aPeer, found == told.end() ? 0 : found->second->m_running);
    if (found != told.end() && found->second->m_serviceMs > 0) {
      endpoint->m_load.OnPeerService(Millis(found->second->m_serviceMs));
    }
  }
}

void
RequestEngine::OnFleetUse(TimePoint aNow,
                          const std::map<std::uint32_t, std::uint32_t>& aTotals)
{
  for (auto& [name, endpoint] : m_endpoints) {
    const auto found = aTotals.find(ShortHash(name));
    const std::size_t total = found == aTotals.end() ? 0 : found->second;
    const auto own = endpoint->m_load.OwnRunning();
    endpoint->m_load.OnPeer(aNow, kFleet, total > own ? total - own : 0);
  }
}

std::map<std::uint32_t, std::uint32_t>
RequestEngine::Totals(TimePoint aNow) const
{
  std::map<std::uint32_t, std::uint32_t> totals;
  for (const auto& [name, endpoint] : m_endpoints) {
    const auto running = endpoint->m_load.Running(aNow);
    if (running * 2 >= endpoint->m_load.Slots()) {
      totals[ShortHash(name)] = static_cast<std::uint32_t>(running);
    }
  }
  return totals;
}

std::vector<EndpointUse>
RequestEngine::Uses() const
{
  std::vector<EndpointUse> uses;
  for (const auto& [name, endpoint] : m_endpoints) {
    const auto running = endpoint->m_load.OwnRunning();
    if (running > 0) {
      uses.push_back(
        { name,
          static_cast<std::uint32_t>(running),
          static_cast<std::uint32_t>(
            std::chrono::duration_cast<Millis>(endpoint->m_load.ServiceTime())
              .count()) });
    }
  }
  return uses;
}

double
RequestEngine::CapacityOf(const std::string& aEndpoint) const
{
  const auto found = m_endpoints.find(aEndpoint);
  if (found == m_endpoints.end()) {
    return 1.0;
  }
  const auto& endpoint = *found->second;
  std::chrono::duration<double> time = endpoint.m_load.SharedServiceTime();
  const auto service = m_services.find(endpoint.m_record.m_service);
  if (time.count() <= 0.0 && service != m_services.end()) {
    time = service->second.m_typical;
  }
  return static_cast<double>(endpoint.m_load.Slots()) /
         std::max(time.count(), kLeastServiceSeconds);
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

namespace {

void
AnswerDirectly(AnswerSink& aSink,
               int aStatus,
               std::string_view aReason,
               std::optional<Millis> aRetryAfter)
{
  ResponseHead head;
  head.m_status = aStatus;
  head.m_headers.push_back({ "Content-Type", "text/plain" });
  if (aRetryAfter) {
    head.m_headers.push_back({ "Retry-After", SecondsText(*aRetryAfter) });
  }
  aSink.Answer(head, aReason);
}

} // namespace

TransactionPtr
RequestEngine::OnRequest(AnswerSink& aSink, RequestHead&& aHead)
{
  if (!m_routes) {
    constexpr Millis kStartUp{ 300 }; // a configuration is read in less
    AnswerDirectly(aSink, kUnavailable, "no configuration yet", kStartUp);
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
    ++m_counts.m_unrouted;
    AnswerDirectly(aSink, kNotFound, "no route", std::nullopt);
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
  ++m_counts.m_requests;
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
  ++m_unanswered;
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
    Enqueue(aTransaction);
  }
  if (!aTransaction->m_done) {
    ArmTimer(aTransaction);
  }
}

RequestEngine::Endpoint*
RequestEngine::Choose(TimePoint aNow, const Transaction& aTransaction)
{
  if (aNow < aTransaction.m_notBefore) {
    return nullptr;
  }
  auto& service = ServiceOf(aTransaction.m_service);
  return aTransaction.m_key ? ChooseHolder(aNow, aTransaction, service)
                            : ChooseAny(aNow, aTransaction, service);
}

RequestEngine::Endpoint*
RequestEngine::ChooseHolder(TimePoint aNow,
                            const Transaction& aTransaction,
                            Service& aService)
{
  const auto* route = aService.m_ranges.Find(*aTransaction.m_key);
  if (route == nullptr || !route->m_ready) {
    return nullptr;
  }
  const auto found = m_endpoints.find(route->m_endpoint);
  if (found == m_endpoints.end()) {
    return nullptr;
  }
  auto& endpoint = *found->second;
  const bool free = endpoint.m_usable && endpoint.m_load.HasRoom(aNow) &&
                    !endpoint.m_load.IsEjected(aNow);
  return free ? &endpoint : nullptr;
}

RequestEngine::Endpoint*
RequestEngine::ChooseAny(TimePoint aNow,
                         const Transaction& aTransaction,
                         const Service& aService)
{
  Endpoint* best = nullptr;
  std::chrono::nanoseconds bestTime{};
  const auto zoneCost = aTransaction.m_route->m_kind == RequestKind::Upload
                          ? kZoneCostOfBody
                          : kZoneCost;
  for (const auto& [name, owned] : m_endpoints) {
    auto& endpoint = *owned;
    if (endpoint.m_record.m_service != aTransaction.m_service ||
        !endpoint.m_usable || !endpoint.m_load.HasRoom(aNow) ||
        endpoint.m_load.IsEjected(aNow)) {
      continue;
    }
    auto time = endpoint.m_load.ExpectedFinish(aNow, aService.m_typical);
    if (endpoint.m_record.m_zone != m_settings.m_zone) {
      time += zoneCost;
    }
    if (aTransaction.m_tried.contains(name)) {
      time *= 4; // another endpoint first
    }
    if (aNow < endpoint.m_warmAt) {
      time *= 2;
    }
    if (best == nullptr || time < bestTime) {
      best = &endpoint;
      bestTime = time;
    }
  }
  return best;
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
}

void
RequestEngine::Dequeue(const TransactionPtr& aTransaction)
{
  if (aTransaction->m_waiting) {
    aTransaction->m_waiting = false;
    ServiceOf(aTransaction->m_service).m_waiting.remove(aTransaction);
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

std::string
RequestEngine::SerializeRequest(TimePoint aNow,
                                const Transaction& aTransaction,
                                const Endpoint& aEndpoint) const
{
  const auto& head = aTransaction.m_head;
  std::string text = head.m_method + " " + head.m_target + " HTTP/1.1\r\n";
  const auto* connection = FindHeader(head.m_headers, "Connection");
  for (const auto& header : head.m_headers) {
    if (!IsHopHeader(header.m_name) &&
        !EqualNoCase(header.m_name, m_protocol.m_deadlineHeader) &&
        !EqualNoCase(header.m_name, m_protocol.m_expectHeader) &&
        !IsNamedByConnection(connection, header.m_name)) {
      AppendHeader(text, header.m_name, header.m_value);
    }
  }
  const auto left =
    std::chrono::duration_cast<Millis>(aTransaction.m_callerDeadline - aNow);
  AppendHeader(text,
               m_protocol.m_deadlineHeader,
               std::to_string(std::max<Millis::rep>(left.count(), 1)));
  AppendHeader(
    text, m_protocol.m_expectHeader, aEndpoint.m_record.m_life.m_name);
  if (head.m_bodySize) {
    AppendHeader(text, "Content-Length", std::to_string(*head.m_bodySize));
  } else if (head.m_hasBody) {
    AppendHeader(text, "Transfer-Encoding", "chunked");
  }
  text += "\r\n";
  return text;
}

void
RequestEngine::SendTo(TimePoint aNow,
                      const TransactionPtr& aTransaction,
                      Endpoint& aEndpoint)
{
  auto& transaction = *aTransaction;
  std::shared_ptr<UpstreamConnection> connection;
  while (!connection && !aEndpoint.m_idle.empty()) {
    auto idle = std::move(aEndpoint.m_idle.back());
    aEndpoint.m_idle.pop_back();
    if (idle->IsReusable(aNow)) {
      connection = std::move(idle);
    } else {
      m_loop.Retire(std::move(idle));
    }
  }
  if (!connection) {
    connection = std::make_shared<UpstreamConnection>(
      m_loop, m_protocol, aEndpoint.m_record.m_address);
  }
  transaction.m_turns = aEndpoint.m_load.OnSent(aNow);
  ++transaction.m_sends;
  transaction.m_tried.insert(aEndpoint.m_record.m_life.m_name);
  transaction.m_sentAt = aNow;
  transaction.m_sentTo = aEndpoint.m_record.m_life.m_name;
  transaction.m_upstream = connection;
  UpstreamEvents events;
  events.m_onAnswer = [this, aTransaction](const ResponseHead& aHead,
                                           std::string_view aBody) {
    OnAnswer(aTransaction, aHead, aBody);
  };
  events.m_onBegin = [this, aTransaction](const ResponseHead& aHead) {
    if (aTransaction->m_sink != nullptr) {
      aTransaction->m_answering = true;
      aTransaction->m_sink->BeginAnswer(aHead);
    }
  };
  events.m_onPiece = [aTransaction](std::string_view aPiece) {
    if (aTransaction->m_sink != nullptr) {
      aTransaction->m_sink->AnswerPiece(aPiece);
    }
  };
  events.m_onEnd = [this, aTransaction] { OnAnswer(aTransaction, {}, {}); };
  events.m_onFault = [this, aTransaction](UpstreamFault aFault) {
    OnFault(aTransaction, aFault);
  };
  const bool hasBody = transaction.m_head.m_hasBody;
  connection->Send(transaction,
                   SerializeRequest(aNow, transaction, aEndpoint),
                   hasBody,
                   std::move(events));
  if (hasBody) {
    connection->SendBody(transaction.m_body,
                         !transaction.m_head.m_bodySize.has_value(),
                         transaction.m_bodyComplete);
  }
}

void
RequestEngine::OnRequestBody(const TransactionPtr& aTransaction,
                             std::string_view aPiece)
{
  auto& transaction = *aTransaction;
  if (transaction.m_done) {
    return;
  }
  if (transaction.m_upstream && transaction.m_head.m_hasBody) {
    transaction.m_upstream->SendBody(aPiece,
                                     !transaction.m_head.m_bodySize.has_value(),
                                     transaction.m_bodyComplete);
  }
  if (!transaction.m_bodyKept) {
    return;
  }
  if (transaction.m_body.size() + aPiece.size() <= kKeptBody) {
    transaction.m_body.append(aPiece);
    return;
  }
  if (!transaction.m_upstream) {
    Refuse(aTransaction, "body too large to wait for an endpoint");
    return;
  }
  transaction.m_bodyKept = false;
  transaction.m_body = {};
}

void
RequestEngine::ReturnConnection(const TransactionPtr& aTransaction)
{
  auto connection = std::exchange(aTransaction->m_upstream, nullptr);
  if (!connection) {
    return;
  }
  const auto found = m_endpoints.find(aTransaction->m_sentTo);
  if (found != m_endpoints.end() && found->second->m_idle.size() < kMaxIdle &&
      connection->IsReusable(BootClock::now())) {
    found->second->m_idle.push_back(std::move(connection));
  } else {
    m_loop.Retire(std::move(connection));
  }
}

void
RequestEngine::EndAttempt(TimePoint aNow,
                          const TransactionPtr& aTransaction,
                          AttemptEnd aEnd)
{
  ReturnConnection(aTransaction);
  const auto found = m_endpoints.find(aTransaction->m_sentTo);
  if (found == m_endpoints.end()) {
    return;
  }
  const auto took = aNow - aTransaction->m_sentAt;
  found->second->m_load.OnEnd(aNow, aEnd, took, aTransaction->m_turns);
  if (aEnd == AttemptEnd::Answered) {
    constexpr int kMeanOver = 50; // answers
    auto& typical = ServiceOf(aTransaction->m_service).m_typical;
    const std::chrono::nanoseconds service(
      static_cast<std::chrono::nanoseconds::rep>(
        static_cast<double>(took.count()) / aTransaction->m_turns));
    typical += (service - typical) / kMeanOver;
  }
}

void
RequestEngine::OnAnswer(const TransactionPtr& aTransaction,
                        const ResponseHead& aHead,
                        std::string_view aBody)
{
  if (aTransaction->m_done) {
    ReturnConnection(aTransaction);
    return;
  }
  const bool notRun =
    FindHeader(aHead.m_headers, m_protocol.m_notRunHeader) != nullptr;
  AttemptEnd end = AttemptEnd::Answered;
  if (aHead.m_status == kMisdirected) {
    end = AttemptEnd::Misdirected;
  } else if (notRun) {
    end = AttemptEnd::NotRun;
  } else if (aHead.m_status >= kServerError) {
    end = AttemptEnd::Failed;
  }
  EndAttempt(BootClock::now(), aTransaction, end);
  TakeNextStep(aTransaction, end, &aHead, aBody);
  Pump();
}

void
RequestEngine::OnFault(const TransactionPtr& aTransaction, UpstreamFault aFault)
{
  const bool sent =
    aFault != UpstreamFault::Refused && aFault != UpstreamFault::NotConnected;
  const auto end = sent ? AttemptEnd::Lost : AttemptEnd::NotSent;
  EndAttempt(BootClock::now(), aTransaction, end);
  if (aTransaction->m_done) {
    return;
  }
  TakeNextStep(aTransaction, end, nullptr, {});
  Pump();
}

void
RequestEngine::TakeNextStep(const TransactionPtr& aTransaction,
                            AttemptEnd aEnd,
                            const ResponseHead* aHead,
                            std::string_view aBody)
{
  auto& transaction = *aTransaction;
  const TimePoint now = BootClock::now();
  if (transaction.m_answering) {
    auto* sink = transaction.m_sink;
    Complete(aTransaction);
    if (aEnd == AttemptEnd::Answered) {
      sink->EndAnswer();
    } else {
      LogRequest(transaction, "answer-cut", 0, LogRank::Event);
      sink->CutAnswer();
    }
    return;
  }
  if (aEnd == AttemptEnd::Answered) {
    Finish(aTransaction, *aHead, aBody, "answered");
    return;
  }
  if (aEnd == AttemptEnd::NotSent) {
    --transaction.m_sends;
  }
  transaction.m_mayHaveRun = transaction.m_mayHaveRun ||
                             aEnd == AttemptEnd::Lost ||
                             aEnd == AttemptEnd::Failed;
  if (aEnd == AttemptEnd::Misdirected && transaction.m_key) {
    ++transaction.m_misdirected;
    transaction.m_notBefore = now + kMisdirectedPause;
    transaction.m_tried.erase(transaction.m_sentTo);
    if (m_onMisdirected) {
      m_onMisdirected(transaction.m_service);
    }
  }
  AttemptState state;
  state.m_kind = transaction.m_route->m_kind;
  state.m_sends = transaction.m_sends;
  // A refused key costs no attempt at another endpoint.
  state.m_maxSends = transaction.m_route->m_maxAttempts +
                     std::min(transaction.m_misdirected, 2U);
  state.m_hasBody = transaction.m_bodyKept;
  state.m_mayHaveRun = transaction.m_mayHaveRun;
  state.m_timeLeft = transaction.m_deadline - now;
  const auto step = AfterAttempt(state, aEnd);
  m_log.Write(LogLine("attempt-ended")
                .Add("id", transaction.m_attemptId)
                .Add("endpoint", transaction.m_sentTo)
                .Add("end", EndName(aEnd))
                .Add("status", aHead != nullptr ? aHead->m_status : 0)
                .Add("took_ms", now - transaction.m_sentAt)
                .Add("sends", transaction.m_sends)
                .Add("left_ms", state.m_timeLeft));
  auto& budget = ServiceOf(transaction.m_service).m_budget;
  const bool again =
    step == NextStep::SendAgain ||
    (step == NextStep::SendAgainOnBudget && budget.TryTake(now));
  if (again) {
    m_counts.m_repeats += step == NextStep::SendAgainOnBudget ? 1 : 0;
    transaction.m_waitsFrom = now;
    Place(aTransaction);
  } else if (aEnd == AttemptEnd::Failed) {
    Finish(aTransaction, *aHead, aBody, "endpoint-failed");
  } else if (transaction.m_mayHaveRun) {
    Fail(aTransaction, kBadGateway, "endpoint lost during the request");
  } else {
    Refuse(aTransaction, EndName(aEnd));
  }
}

TimePoint
RequestEngine::WaitsUntil(const Transaction& aTransaction)
{
  const auto& route = *aTransaction.m_route;
  const auto most =
    std::chrono::nanoseconds(static_cast<std::chrono::nanoseconds::rep>(
      kWaitPart * static_cast<double>(
                    std::chrono::nanoseconds(route.m_objective).count())));
  return std::min(aTransaction.m_waitsFrom + most, aTransaction.m_deadline);
}

void
RequestEngine::ArmTimer(const TransactionPtr& aTransaction)
{
  const TimePoint now = BootClock::now();
  TimePoint until = aTransaction->m_deadline;
  if (aTransaction->m_waiting) {
    until = WaitsUntil(*aTransaction);
    if (now < aTransaction->m_notBefore) {
      until = std::min(until, aTransaction->m_notBefore);
    }
  }
  aTransaction->m_timer->Start(
    std::max(until - now, std::chrono::nanoseconds(0)));
}

void
RequestEngine::OnTimer(const TransactionPtr& aTransaction)
{
  auto& transaction = *aTransaction;
  if (transaction.m_done) {
    return;
  }
  const TimePoint now = BootClock::now();
  // The timer's clock may run a little ahead of the boot clock.
  constexpr Millis kEarly{ 2 };
  if (transaction.m_waiting) {
    if (now + kEarly >= WaitsUntil(transaction)) {
      Dequeue(aTransaction);
      if (transaction.m_mayHaveRun) {
        Fail(aTransaction, kGatewayTimeout, "no room for another attempt");
      } else {
        Refuse(aTransaction, "no room in time");
      }
      return;
    }
    transaction.m_notBefore = {};
    Dequeue(aTransaction);
    Place(aTransaction);
    return;
  }
  if (now + kEarly >= transaction.m_deadline) {
    if (transaction.m_upstream) {
      transaction.m_upstream->Abandon();
      EndAttempt(now, aTransaction, AttemptEnd::Abandoned);
    }
    if (transaction.m_answering) {
      auto* sink = transaction.m_sink;
      Complete(aTransaction);
      sink->CutAnswer();
    } else {
      Fail(aTransaction, kGatewayTimeout, "time ran out at the endpoint");
    }
    Pump();
    return;
  }
  ArmTimer(aTransaction);
}

void
RequestEngine::OnCallerGone(const TransactionPtr& aTransaction)
{
  auto& transaction = *aTransaction;
  if (transaction.m_done) {
    return;
  }
  ++m_counts.m_gone;
  LogRequest(transaction, "caller-left", 0, LogRank::Routine);
  if (transaction.m_upstream) {
    transaction.m_upstream->Abandon();
    EndAttempt(BootClock::now(), aTransaction, AttemptEnd::Abandoned);
  }
  Complete(aTransaction);
  m_loop.Defer([this] { Pump(); });
}

void
RequestEngine::Complete(const TransactionPtr& aTransaction)
{
  auto& transaction = *aTransaction;
  Dequeue(aTransaction);
  transaction.m_done = true;
  transaction.m_sink = nullptr;
  transaction.m_body = {};
  --m_unanswered;
  if (transaction.m_timer) {
    transaction.m_timer->Stop();
    m_loop.Retire(std::shared_ptr<Timer>(std::move(transaction.m_timer)));
  }
}

void
RequestEngine::Finish(const TransactionPtr& aTransaction,
                      const ResponseHead& aHead,
                      std::string_view aBody,
                      std::string_view aOutcome)
{
  auto* sink = aTransaction->m_sink;
  const bool well = aHead.m_status < kServerError;
  ++m_counts.m_answered;
  LogRequest(*aTransaction,
             aOutcome,
             aHead.m_status,
             well ? LogRank::Routine : LogRank::Event);
  Complete(aTransaction);
  if (sink != nullptr) {
    sink->Answer(aHead, aBody);
  }
}

void
RequestEngine::Refuse(const TransactionPtr& aTransaction,
                      std::string_view aReason)
{
  auto* sink = aTransaction->m_sink;
  ++m_counts.m_refused;
  LogRequest(*aTransaction, aReason, kUnavailable, LogRank::Event);
  Complete(aTransaction);
  if (sink != nullptr) {
    AnswerDirectly(*sink, kUnavailable, aReason, kRetryAfter);
  }
}

void
RequestEngine::Fail(const TransactionPtr& aTransaction,
                    int aStatus,
                    std::string_view aReason)
{
  auto* sink = aTransaction->m_sink;
  ++m_counts.m_failed;
  LogRequest(*aTransaction, aReason, aStatus, LogRank::Event);
  Complete(aTransaction);
  if (sink != nullptr) {
    AnswerDirectly(*sink, aStatus, aReason, std::nullopt);
  }
}

void
RequestEngine::LogRequest(const Transaction& aTransaction,
                          std::string_view aOutcome,
                          int aStatus,
                          LogRank aRank)
{
  LogLine line("request-ended");
  line.Add("id", aTransaction.m_attemptId)
    .Add("outcome", aOutcome)
    .Add("status", aStatus)
    .Add("route", aTransaction.m_route->m_name)
    .Add("kind", KindName(aTransaction.m_route->m_kind))
    .Add("config", aTransaction.m_routes->Config().m_version)
    .Add("service", aTransaction.m_service)
    .Add("took_ms", BootClock::now() - aTransaction.m_arrivedAt)
    .Add("sends", aTransaction.m_sends)
    .Add("endpoint", aTransaction.m_sentTo);
  if (aTransaction.m_key) {
    line.Add("key", *aTransaction.m_key);
  }
  if (aStatus == kUnavailable) {
    AddRoom(line, aTransaction);
  }
  m_log.Write(line, aRank);
}

/** Adds what decided that a request found no room: how many wait, and the load
    of the key's holder or of the service's endpoints. */
void
RequestEngine::AddRoom(LogLine& aLine, const Transaction& aTransaction)
{
  const TimePoint now = BootClock::now();
  auto& service = ServiceOf(aTransaction.m_service);
  aLine.Add("waiting", service.m_waiting.size());
  if (aTransaction.m_key) {
    const auto* route = service.m_ranges.Find(*aTransaction.m_key);
    const auto holder = route != nullptr ? m_endpoints.find(route->m_endpoint)
                                         : m_endpoints.end();
    aLine.Add("granted", route != nullptr && route->m_ready ? 1 : 0);
    if (holder != m_endpoints.end()) {
      const auto& load = holder->second->m_load;
      aLine.Add("holder", route->m_endpoint)
        .Add("holder_usable", holder->second->m_usable ? 1 : 0)
        .Add("holder_running", load.Running(now))
        .Add("holder_limit", load.Limit(now))
        .Add("holder_ejected", load.IsEjected(now) ? 1 : 0);
    }
    return;
  }
  std::size_t usable = 0;
  std::size_t withRoom = 0;
  for (const auto& [name, endpoint] : m_endpoints) {
    if (endpoint->m_record.m_service == aTransaction.m_service &&
        endpoint->m_usable) {
      ++usable;
      withRoom += endpoint->m_load.HasRoom(now) ? 1 : 0;
    }
  }
  aLine.Add("endpoints", usable).Add("endpoints_with_room", withRoom);
}

} // namespace sapphirehook
