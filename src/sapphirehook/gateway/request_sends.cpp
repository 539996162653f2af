#include "sapphirehook/gateway/internal/answers.hpp"
#include "sapphirehook/gateway/request_engine.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

// Sends requests to endpoints and manages the connections to them.

namespace sapphirehook {

using namespace internal;

namespace {

/** Bytes of a request's body that may be buffered, unless memory is short,
    before its caller has to wait: until they have been sent to the endpoint, or
    until an endpoint has been found. */
constexpr std::size_t kMaxUnsentBody = 262'144;
/** Maximum size, in bytes, of a body that is kept for another attempt. */
constexpr std::size_t kMaxKeptBody = 524'288;
/** Maximum number of idle connections to one endpoint. */
constexpr std::size_t kMaxIdleConnections = 8;

/** Returns whether the Connection header lists another header as hop-by-hop. */
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

std::string
RequestEngine::SerializeRequest(TimePoint aNow,
                                const Transaction& aTransaction,
                                const Endpoint& aEndpoint) const
{
  const auto& head = aTransaction.m_head;
  std::string text = head.m_method + " " + head.m_target + " HTTP/1.1\r\n";
  const auto* connection = FindHeader(head.m_headers, "Connection");
  for (const auto& header : head.m_headers) {
    if (!IsHopByHopHeader(header.m_name) &&
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
    text, m_protocol.m_expectHeader, aEndpoint.m_record.m_incarnation.m_name);
  if (head.m_bodySize) {
    AppendHeader(text, "Content-Length", std::to_string(*head.m_bodySize));
  } else if (head.m_hasBody) {
    AppendHeader(text, "Transfer-Encoding", "chunked");
  }
  text += "\r\n";
  return text;
}

/** Returns an idle connection to an endpoint, or a new one. Skips connections
    on which the endpoint refused this request. */
std::shared_ptr<UpstreamConnection>
RequestEngine::ConnectionFor(TimePoint aNow,
                             const Transaction& aTransaction,
                             Endpoint& aEndpoint)
{
  auto& idle = aEndpoint.m_idle;
  std::erase_if(idle, [&](auto& aIdle) {
    const bool isUnusable = !aIdle->IsReusable(aNow);
    if (isUnusable) {
      m_loop.Retire(std::move(aIdle));
    }
    return isUnusable;
  });
  const auto& refusedOn = aTransaction.m_refusedOn;
  const auto found =
    std::find_if(idle.rbegin(), idle.rend(), [&](const auto& aIdle) {
      return std::none_of(
        refusedOn.begin(), refusedOn.end(), [&](const auto& aRefused) {
          return aRefused.lock() == aIdle;
        });
    });
  if (found == idle.rend()) {
    return std::make_shared<UpstreamConnection>(
      m_loop, m_protocol, aEndpoint.m_record.m_address, m_budget);
  }
  auto connection = std::move(*found);
  idle.erase(std::next(found).base());
  return connection;
}

void
RequestEngine::SendTo(TimePoint aNow,
                      const TransactionPtr& aTransaction,
                      Endpoint& aEndpoint)
{
  auto& transaction = *aTransaction;
  const auto connection = ConnectionFor(aNow, transaction, aEndpoint);
  aEndpoint.m_coldStart.OnSent(
    aNow, ColdLimitOf(aEndpoint), m_hosts, transaction.m_key.has_value());
  if (++transaction.m_sends == 1) {
    m_metrics.m_waitTimes.Observe(aNow - transaction.m_arrivedAt);
  }
  BeginWatch(aNow, transaction, aEndpoint);
  transaction.m_triedEndpoints.insert(aEndpoint.m_record.m_incarnation.m_name);
  transaction.m_sentAt = aNow;
  transaction.m_sentTo = aEndpoint.m_record.m_incarnation.m_name;
  transaction.m_upstream = connection;
  UpstreamEvents events;
  events.m_onAnswer = [this, aTransaction](const ResponseHead& aHead,
                                           std::string_view aBody) {
    OnAnswer(aTransaction, aHead, aBody);
  };
  events.m_onBegin = [this, aTransaction](const ResponseHead& aHead) {
    if (aTransaction->m_sink != nullptr) {
      TakeReportedLoad(BootClock::now(), *aTransaction, aHead);
      aTransaction->m_answering = true;
      aTransaction->m_sink->BeginAnswer(aHead);
    }
  };
  events.m_onPiece = [aTransaction](std::string_view aPiece) {
    aTransaction->m_answerBytes += aPiece.size();
    if (aTransaction->m_sink != nullptr) {
      aTransaction->m_sink->AnswerPiece(aPiece);
    }
  };
  events.m_onEnd = [this, aTransaction] { OnAnswer(aTransaction, {}, {}); };
  events.m_onFault = [this, aTransaction](UpstreamFault aFault) {
    OnFault(aTransaction, aFault);
  };
  events.m_onDrained = [aTransaction] {
    if (aTransaction->m_sink != nullptr) {
      aTransaction->m_sink->PauseBody(false);
    }
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
    transaction.m_sink->PauseBody(false);
    PauseBodyIfBuffered(transaction);
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
  KeepBody(aTransaction, aPiece);
  PauseBodyIfBuffered(transaction);
}

/** Pauses a request's body while too much of it is buffered. */
void
RequestEngine::PauseBodyIfBuffered(Transaction& aTransaction) const
{
  if (aTransaction.m_done || aTransaction.m_sink == nullptr) {
    return;
  }
  const auto buffered = aTransaction.m_upstream
                          ? aTransaction.m_upstream->Unsent()
                          : aTransaction.m_body.size();
  if (buffered > m_budget->ConnectionLimit(kMaxUnsentBody)) {
    aTransaction.m_sink->PauseBody(true);
  }
}

/** Keeps a piece of a body for another attempt, as long as it is small. */
void
RequestEngine::KeepBody(const TransactionPtr& aTransaction,
                        std::string_view aPiece)
{
  auto& transaction = *aTransaction;
  if (!transaction.m_bodyKept) {
    return;
  }
  const auto limit = transaction.m_upstream
                       ? m_budget->ConnectionLimit(kMaxKeptBody)
                       : kMaxKeptBody;
  if (transaction.m_body.size() + aPiece.size() <= limit) {
    transaction.m_body.append(aPiece);
    transaction.m_bodyBytes.Set(transaction.m_body.capacity());
    return;
  }
  if (!transaction.m_upstream) {
    Refuse(aTransaction, "body too large to wait for an endpoint", Millis(0));
    return;
  }
  transaction.m_bodyKept = false;
  transaction.m_body = {};
  transaction.m_bodyBytes.Set(0);
}

void
RequestEngine::PauseAnswer(const TransactionPtr& aTransaction, bool aPaused)
{
  if (aTransaction->m_upstream) {
    aTransaction->m_upstream->PauseAnswer(aPaused);
  }
}

void
RequestEngine::OnAnswerHeld(std::chrono::nanoseconds aFor)
{
  m_metrics.m_heldTimes.Observe(aFor);
}

void
RequestEngine::ReturnConnection(const TransactionPtr& aTransaction)
{
  auto connection = std::exchange(aTransaction->m_upstream, nullptr);
  if (!connection) {
    return;
  }
  const auto found = m_endpoints.find(aTransaction->m_sentTo);
  if (found != m_endpoints.end() &&
      found->second->m_idle.size() < kMaxIdleConnections &&
      connection->IsReusable(BootClock::now())) {
    found->second->m_idle.push_back(std::move(connection));
  } else {
    m_loop.Retire(std::move(connection));
  }
}

} // namespace sapphirehook
