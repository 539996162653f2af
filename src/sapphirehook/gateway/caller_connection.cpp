#include "sapphirehook/gateway/caller_connection.hpp"

#include <http_parser.h>
#include <utility>

namespace sapphirehook {

namespace {

/** Maximum bytes of pipelined requests that are buffered while a request is in
    progress. Above this, the connection stops reading. */
constexpr std::size_t kMaxBacklog = 65'536;
/** Maximum time that written bytes stay unacknowledged before the caller counts
    as disconnected. */
constexpr Millis kAcknowledgeTimeout{ 8000 };
/** Maximum unsent bytes of an answer to a caller that reads slowly. Above this,
    the answer is aborted. */
constexpr std::size_t kMaxUnsent = std::size_t{ 4 } << 20U;

constexpr int kBadRequest = 400;
constexpr int kTimeout = 408;
constexpr int kTooLarge = 413;
constexpr int kHeadTooLarge = 431;

const char*
ReasonOf(int aStatus)
{
  switch (aStatus) {
#define SAPPHIREHOOK_REASON(aNumber, aName, aText)                             \
  case aNumber:                                                                \
    return #aText;
    HTTP_STATUS_MAP(SAPPHIREHOOK_REASON)
#undef SAPPHIREHOOK_REASON
    default:
      return "Unknown";
  }
}

} // namespace

CallerConnection::CallerConnection(EventLoop& aLoop, CallerEvents& aEvents)
  : m_loop(aLoop)
  , m_events(aEvents)
  , m_stream(aLoop,
             StreamEvents{ nullptr,
                           [this](std::string_view aBytes) { OnData(aBytes); },
                           nullptr,
                           [this](StreamEnd) { OnEnd(); } })
  , m_parser(HttpMessageType::Request,
             MessageEvents{ [this] { OnHead(); },
                            [this](std::string_view aPiece) { OnBody(aPiece); },
                            [this] { OnRequestComplete(); } })
  , m_timer(aLoop, [this] { OnTimer(); })
{
}

void
CallerConnection::Start(int aSocket)
{
  m_stream.Adopt(aSocket, kAcknowledgeTimeout);
  m_parser.LimitHead(m_events.Limits().m_headBytes);
  m_timer.Start(m_events.Limits().m_idleTimeout);
}

void
CallerConnection::CloseIfIdle()
{
  if (!IsBusy() && m_backlog.empty()) {
    Close();
  }
}

void
CallerConnection::OnData(std::string_view aBytes)
{
  const auto self = shared_from_this();
  if (m_requestRead || !m_backlog.empty()) {
    m_backlog.append(aBytes);
    if (m_backlog.size() > kMaxBacklog) {
      m_stream.SetReading(false);
    }
    return;
  }
  Parse(aBytes);
}

void
CallerConnection::Parse(std::string_view aBytes)
{
  m_parsing = true;
  if (!m_parser.IsInMessage()) {
    m_requestStartedAt = BootClock::now();
    m_timer.Start(m_events.Limits().m_headTimeout);
  }
  const std::size_t used = m_parser.Feed(aBytes);
  m_parsing = false;
  if (m_closed || m_finishing) {
    return;
  }
  const auto fault = m_parser.Fault();
  if (fault != ParseFault::None && !m_answered) {
    if (m_transaction) {
      // The body violates the protocol, so the request cannot be completed.
      m_events.OnCallerDisconnected(std::exchange(m_transaction, nullptr));
    }
    const bool tooLarge = fault == ParseFault::HeadTooLarge;
    Refuse(tooLarge ? kHeadTooLarge : kBadRequest,
           tooLarge ? "request head too large" : "malformed request");
    return;
  }
  if (fault != ParseFault::None) {
    Close();
    return;
  }
  if (m_requestRead) {
    m_backlog.append(aBytes.substr(used));
    if (m_answered) {
      NextRequest();
    }
  }
}

void
CallerConnection::OnHead()
{
  m_headRead = true;
  m_timer.Stop();
  auto& head = m_parser.Request();
  m_closeAfterAnswer = !m_parser.KeepsAlive();
  m_noBodyAnswer = head.m_method == "HEAD";
  if (head.m_bodySize.value_or(0) > m_events.Limits().m_bodyBytes) {
    Refuse(kTooLarge, "request body too large");
    return;
  }
  const auto* expect = FindHeader(head.m_headers, "Expect");
  if (expect != nullptr && EqualNoCase(*expect, "100-continue")) {
    m_stream.Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  m_transaction = m_events.OnRequest(*this, std::move(head));
}

void
CallerConnection::OnBody(std::string_view aPiece)
{
  m_bodyBytes += aPiece.size();
  if (m_bodyBytes > m_events.Limits().m_bodyBytes && !m_answered) {
    if (m_transaction) {
      m_events.OnCallerDisconnected(std::exchange(m_transaction, nullptr));
    }
    Refuse(kTooLarge, "request body too large");
    return;
  }
  if (m_transaction) {
    m_events.OnRequestBody(m_transaction, aPiece);
  }
}

void
CallerConnection::OnRequestComplete()
{
  m_requestRead = true;
  if (m_transaction) {
    m_transaction->m_bodyComplete = true;
    m_events.OnRequestBody(m_transaction, {});
  }
}

void
CallerConnection::OnEnd()
{
  const auto self = shared_from_this();
  if (m_transaction) {
    m_events.OnCallerDisconnected(std::exchange(m_transaction, nullptr));
  }
  Close();
}

void
CallerConnection::OnTimer()
{
  const auto self = shared_from_this();
  if (m_parser.IsInMessage() && !m_headRead) {
    Refuse(kTimeout, "request head took too long");
  } else if (!IsBusy()) {
    Close();
  }
}

void
CallerConnection::Refuse(int aStatus, std::string_view aReason)
{
  m_closeAfterAnswer = true;
  ResponseHead head;
  head.m_status = aStatus;
  head.m_headers.push_back({ "Content-Type", "text/plain" });
  Answer(head, aReason);
}

std::string
CallerConnection::SerializeHead(const ResponseHead& aHead, bool aChunked)
{
  std::string text = "HTTP/1.1 " + std::to_string(aHead.m_status) + " " +
                     ReasonOf(aHead.m_status) + "\r\n";
  for (const auto& header : aHead.m_headers) {
    if (!IsHopByHopHeader(header.m_name)) {
      AppendHeader(text, header.m_name, header.m_value);
    }
  }
  if (aChunked) {
    AppendHeader(text, "Transfer-Encoding", "chunked");
  } else if (aHead.m_bodySize) {
    AppendHeader(text, "Content-Length", std::to_string(*aHead.m_bodySize));
  }
  m_closeAfterAnswer = m_closeAfterAnswer || m_events.IsStopping();
  if (m_closeAfterAnswer) {
    AppendHeader(text, "Connection", "close");
  }
  text += "\r\n";
  return text;
}

void
CallerConnection::Answer(const ResponseHead& aHead, std::string_view aBody)
{
  ResponseHead head = aHead;
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  const bool hasNoBody = m_noBodyAnswer || head.m_status == kNoContent ||
                         head.m_status == kNotModified;
  if (!hasNoBody) {
    head.m_bodySize = aBody.size();
  } else if (!m_noBodyAnswer) {
    head.m_bodySize.reset();
  }
  std::string text = SerializeHead(head, false);
  if (!hasNoBody) {
    text.append(aBody);
  }
  m_stream.Write(text);
  FinishAnswer();
}

void
CallerConnection::BeginAnswer(const ResponseHead& aHead)
{
  m_chunkedAnswer = !aHead.m_bodySize.has_value();
  m_stream.Write(SerializeHead(aHead, m_chunkedAnswer));
}

void
CallerConnection::AnswerPiece(std::string_view aPiece)
{
  if (aPiece.empty()) {
    return;
  }
  if (m_chunkedAnswer) {
    std::string framed;
    AppendChunk(framed, aPiece);
    m_stream.Write(framed);
  } else {
    m_stream.Write(aPiece);
  }
  if (m_stream.Unsent() > kMaxUnsent) {
    AbortAnswer(); // the caller reads too slowly
  }
}

void
CallerConnection::EndAnswer()
{
  if (m_chunkedAnswer) {
    m_stream.Write(kLastChunk);
  }
  FinishAnswer();
}

void
CallerConnection::AbortAnswer()
{
  const auto self = shared_from_this();
  if (m_transaction) {
    m_events.OnCallerDisconnected(std::exchange(m_transaction, nullptr));
  }
  Close();
}

void
CallerConnection::FinishAnswer()
{
  const auto self = shared_from_this();
  m_answered = true;
  m_transaction = nullptr;
  if (m_closeAfterAnswer) {
    m_finishing = true;
    m_stream.CloseAfterWrite();
    m_timer.Stop();
    return;
  }
  if (m_requestRead && !m_parsing) {
    NextRequest();
  }
}

void
CallerConnection::NextRequest()
{
  m_parser.Resume();
  m_parser.LimitHead(m_events.Limits().m_headBytes);
  m_headRead = false;
  m_requestRead = false;
  m_answered = false;
  m_bodyBytes = 0;
  m_stream.SetReading(true);
  m_timer.Start(m_events.Limits().m_idleTimeout);
  if (m_backlog.empty()) {
    return;
  }
  const std::weak_ptr<CallerConnection> self = weak_from_this();
  m_loop.Defer([self] {
    const auto connection = self.lock();
    if (connection && !connection->m_closed && !connection->m_requestRead) {
      const auto backlog = std::exchange(connection->m_backlog, {});
      connection->Parse(backlog);
    }
  });
}

void
CallerConnection::Close()
{
  if (m_closed) {
    return;
  }
  m_closed = true;
  m_timer.Stop();
  m_stream.Close();
  m_events.OnClosed(*this);
}

} // namespace sapphirehook
