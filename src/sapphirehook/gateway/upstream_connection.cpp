#include "sapphirehook/gateway/upstream_connection.hpp"

#include <utility>

namespace sapphirehook {

namespace {

/** A host on the same network accepts a connection within a few round trips. */
constexpr Millis kConnectTimeout{ 300 };
/** Maximum time that written bytes stay unacknowledged before the connection
    counts as lost. TCP retransmits a lost packet within 0.4 s. */
constexpr Millis kAcknowledgeTimeout{ 1200 };
/** Maximum size, in bytes, of an answer that is buffered until it is complete,
    so that the request can be retried if the answer is truncated. */
constexpr std::size_t kMaxBufferedAnswer = 65'536;
/** Maximum idle time of a connection that is reused, unless the endpoint states
    a shorter one in its Keep-Alive header. */
constexpr Millis kIdleLimit{ 7000 };
/** Time before the end of an endpoint's stated idle timeout at which the
    connection is no longer reused. */
constexpr Millis kIdleMargin{ 600 };
/** Upper bound of the idle timeout that an endpoint states. */
constexpr std::chrono::seconds kMaxStatedIdle{ 3600 };

constexpr int kMisdirected = 421;

} // namespace

UpstreamConnection::UpstreamConnection(
  EventLoop& aLoop,
  const GatewayProtocol& aProtocol,
  sockaddr_in aPeer,
  const std::shared_ptr<MemoryBudget>& aBudget)
  : m_loop(aLoop)
  , m_protocol(aProtocol)
  , m_peer(aPeer)
  , m_stream(aLoop,
             StreamEvents{ [this] {
                            m_requestSent = true;
                            const auto pending = std::exchange(m_pending, {});
                            m_pendingBytes.Set(0);
                            m_stream.Write(pending);
                          },
                           [this](std::string_view aBytes) { OnData(aBytes); },
                           [this] {
                             if (m_busy && m_events.m_onDrained) {
                               m_events.m_onDrained();
                             }
                           },
                           [this](StreamEnd aEnd) { OnEnd(aEnd); } })
  , m_parser(HttpMessageType::Response,
             MessageEvents{ [this] { OnHead(); },
                            [this](std::string_view aPiece) { OnBody(aPiece); },
                            nullptr })
  , m_pendingBytes(aBudget)
  , m_bodyBytes(aBudget)
  , m_idleLimit(kIdleLimit)
{
  m_stream.SetBudget(aBudget);
}

void
UpstreamConnection::Send(const Transaction& aTransaction,
                         std::string aHead,
                         bool aBodyFollows,
                         UpstreamEvents aEvents)
{
  m_busy = true;
  m_bodyFollows = aBodyFollows;
  m_ignoreResponse = false;
  m_ambiguous = false;
  m_streaming = false;
  m_body.clear();
  m_head = {};
  m_attemptId = aTransaction.m_attemptId;
  m_events = std::move(aEvents);
  m_parser.Resume();
  m_parser.ExpectNoBody(aTransaction.m_head.m_method == "HEAD");
  if (m_stream.IsConnected()) {
    m_requestSent = true;
    m_stream.Write(aHead);
  } else {
    m_requestSent = false;
    m_pending = std::move(aHead);
    m_stream.Connect(m_peer, kConnectTimeout, kAcknowledgeTimeout);
  }
}

void
UpstreamConnection::SendBody(std::string_view aPiece,
                             bool aIsChunked,
                             bool aIsLast)
{
  std::string framed;
  if (aIsChunked) {
    AppendChunk(framed, aPiece);
  } else {
    framed.append(aPiece);
  }
  if (aIsChunked && aIsLast) {
    framed.append(kLastChunk);
  }
  m_bodyFollows = !aIsLast;
  if (m_requestSent) {
    m_stream.Write(framed);
  } else {
    m_pending += framed;
    m_pendingBytes.Set(m_pending.capacity());
  }
}

void
UpstreamConnection::Abandon()
{
  m_busy = false;
  m_reusable = false;
  // The caller of this function may be one of the handlers, so they are
  // destroyed later.
  m_loop.Defer([events = std::exchange(m_events, {})] {});
  m_stream.Reset();
}

bool
UpstreamConnection::IsReusable(TimePoint aNow) const
{
  return m_reusable && !m_busy && m_stream.IsConnected() &&
         aNow < m_idleSince + m_idleLimit;
}

void
UpstreamConnection::OnHead()
{
  auto& head = m_parser.Response();
  const auto* id = FindHeader(head.m_headers, m_protocol.m_attemptHeader);
  const bool isNotRun =
    head.m_status == kMisdirected ||
    FindHeader(head.m_headers, m_protocol.m_notRunHeader) != nullptr;
  constexpr int kFirstFinal = 200;
  const bool isFinal = head.m_status >= kFirstFinal;
  const bool mayLackId = isNotRun || m_attemptId.empty();
  m_ignoreResponse =
    !isFinal || (id != nullptr ? *id != m_attemptId : !mayLackId);
  m_ambiguous = isFinal && id == nullptr && isNotRun && m_hasAnswered;
  m_hasAnswered = m_hasAnswered || isFinal;
  if (!m_ignoreResponse) {
    m_head = head;
    m_idleLimit = kIdleLimit;
    ReadKeepAlive();
  }
}

void
UpstreamConnection::ReadKeepAlive()
{
  const auto* text = FindHeader(m_head.m_headers, "Keep-Alive");
  if (text == nullptr) {
    return;
  }
  constexpr std::string_view kTimeout = "timeout=";
  const auto at = text->find(kTimeout);
  if (at == std::string::npos) {
    return;
  }
  const auto digits = text->substr(at + kTimeout.size());
  const auto seconds =
    ParseWholeNumber(digits.substr(0, digits.find_first_not_of("0123456789")));
  if (seconds) {
    const Millis stated = std::chrono::seconds(
      std::min<std::uint64_t>(*seconds, kMaxStatedIdle.count()));
    m_idleLimit = std::min(m_idleLimit, stated - kIdleMargin);
  }
}

void
UpstreamConnection::OnBody(std::string_view aPiece)
{
  if (m_ignoreResponse || !m_busy) {
    return;
  }
  if (!m_streaming && m_body.size() + aPiece.size() <= kMaxBufferedAnswer) {
    m_body.append(aPiece);
    m_bodyBytes.Set(m_body.capacity());
    return;
  }
  if (!m_streaming) {
    m_streaming = true;
    m_events.m_onBegin(m_head);
    const auto begun = std::exchange(m_body, {});
    m_bodyBytes.Set(0);
    m_events.m_onPiece(begun);
  }
  m_events.m_onPiece(aPiece);
}

void
UpstreamConnection::OnData(std::string_view aBytes)
{
  const auto self = shared_from_this();
  if (!m_busy) {
    // No request is in flight, so the bytes belong to none.
    m_reusable = false;
    m_stream.Close();
    if (m_onIdleEnd) {
      m_onIdleEnd();
    }
    return;
  }
  while (m_busy && !aBytes.empty()) {
    aBytes.remove_prefix(m_parser.Feed(aBytes));
    if (m_parser.Fault() != ParseFault::None || m_ambiguous) {
      Fail(m_streaming ? UpstreamFault::Truncated : UpstreamFault::Malformed);
      return;
    }
    if (!m_parser.IsComplete()) {
      return;
    }
    if (m_ignoreResponse) {
      m_parser.Resume();
      m_ignoreResponse = false;
      continue;
    }
    OnComplete(aBytes.empty());
    return;
  }
}

void
UpstreamConnection::OnComplete(bool aNoExtraBytes)
{
  m_busy = false;
  m_idleSince = BootClock::now();
  m_stream.SetReading(true); // the last piece may have paused the answer
  // An endpoint that answers early still expects the rest of the body.
  m_reusable = m_reusable && aNoExtraBytes && m_parser.KeepsAlive() &&
               m_stream.Unsent() == 0 && !m_bodyFollows;
  if (!m_reusable) {
    m_stream.Close();
  }
  const auto events = std::exchange(m_events, {});
  if (m_streaming) {
    events.m_onEnd();
  } else {
    const auto body = std::exchange(m_body, {});
    m_bodyBytes.Set(0);
    events.m_onAnswer(m_head, body);
  }
}

void
UpstreamConnection::OnEnd(StreamEnd aEnd)
{
  const auto self = shared_from_this();
  m_reusable = false;
  if (!m_busy) {
    if (m_onIdleEnd) {
      m_onIdleEnd();
    }
    return;
  }
  if (!m_requestSent) {
    Fail(aEnd == StreamEnd::Refused ? UpstreamFault::Refused
                                    : UpstreamFault::NotConnected);
    return;
  }
  const bool inAnswer = m_parser.IsHeadComplete() && !m_ignoreResponse;
  if (aEnd == StreamEnd::Closed && inAnswer && m_parser.IsCloseDelimited()) {
    m_parser.FeedEof();
    OnComplete(false);
    return;
  }
  if (inAnswer) {
    Fail(UpstreamFault::Truncated);
  } else {
    Fail(UpstreamFault::Broken);
  }
}

void
UpstreamConnection::Fail(UpstreamFault aFault)
{
  m_busy = false;
  m_reusable = false;
  m_stream.Close();
  const auto events = std::exchange(m_events, {});
  events.m_onFault(aFault);
}

} // namespace sapphirehook
