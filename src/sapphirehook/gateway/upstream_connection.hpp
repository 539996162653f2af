#ifndef SAPPHIREHOOK_GATEWAY_UPSTREAM_CONNECTION_HPP
#define SAPPHIREHOOK_GATEWAY_UPSTREAM_CONNECTION_HPP

#include "sapphirehook/gateway/protocol.hpp"
#include "sapphirehook/gateway/transaction.hpp"
#include "sapphirehook/http1/message_parser.hpp"
#include "sapphirehook/net/tcp_stream.hpp"

#include <functional>
#include <memory>
#include <string>

namespace sapphirehook {

/** Reason for a failed attempt on a connection. */
enum class UpstreamFault : unsigned char
{
  /** The connection was refused: no process listens on the endpoint's
      address. */
  Refused,
  /** The connection was not established in time. */
  NotConnected,
  /** The connection ended after the request was sent and before an answer. */
  Broken,
  /** The received bytes are not an answer to the request. */
  Malformed,
  /** The answer is incomplete. */
  Truncated,
};

/** Callbacks of an attempt. */
struct UpstreamEvents
{
  /** The answer is complete and was small enough to be buffered. */
  std::function<void(const ResponseHead&, std::string_view aBody)> m_onAnswer;
  /** The answer is too large to be buffered. m_onBegin passes the head, then
      m_onPiece the body in pieces; m_onEnd reports the end. */
  std::function<void(const ResponseHead&)> m_onBegin;
  std::function<void(std::string_view)> m_onPiece;
  std::function<void()> m_onEnd;
  /** The attempt failed. */
  std::function<void(UpstreamFault)> m_onFault;
  /** All of the request's body that was passed on has been sent. */
  std::function<void()> m_onDrained = {};
};

/** Connection to an endpoint that carries one request at a time. Answers are
    matched by the request id, so that a late second answer to an earlier
    request is dropped. A refusal without an id is accepted only as the first
    answer on the connection: after other answers it may belong to an earlier
    request. */
class UpstreamConnection
  : public std::enable_shared_from_this<UpstreamConnection>
{
public:
  UpstreamConnection(EventLoop& aLoop,
                     const GatewayProtocol& aProtocol,
                     sockaddr_in aPeer,
                     const std::shared_ptr<MemoryBudget>& aBudget);

  /** Sends a request's head. If aBodyFollows is set, SendBody is called up to
      the last piece of the body. */
  void Send(const Transaction& aTransaction,
            std::string aHead,
            bool aBodyFollows,
            UpstreamEvents aEvents);

  /** Sends a piece of the request's body. */
  void SendBody(std::string_view aPiece, bool aIsChunked, bool aIsLast);

  /** Pauses or resumes the answer that arrives in pieces. */
  void PauseAnswer(bool aPaused) { m_stream.SetReading(!aPaused); }

  /** Abandons the attempt and resets the connection, which makes the endpoint
      drop the request. */
  void Abandon();

  /** Returns whether the connection can carry another request. */
  [[nodiscard]] bool IsReusable(TimePoint aNow) const;

  [[nodiscard]] bool IsConnected() const { return m_stream.IsConnected(); }

  [[nodiscard]] const sockaddr_in& Peer() const noexcept { return m_peer; }

  /** Returns the bytes of the request that are not sent yet. */
  [[nodiscard]] std::size_t Unsent() const noexcept
  {
    return m_stream.Unsent() + m_pending.size();
  }

  /** Returns whether any byte of the request has left this daemon. */
  [[nodiscard]] bool IsRequestSent() const noexcept { return m_requestSent; }

  /** Returns whether the head of the answer has been received. */
  [[nodiscard]] bool HasAnswerBegun() const noexcept
  {
    return m_parser.IsHeadComplete() && !m_ignoreResponse;
  }

  /** Called when an idle connection ends. */
  std::function<void()> m_onIdleEnd;

private:
  void OnData(std::string_view aBytes);
  void OnEnd(StreamEnd aEnd);
  void OnHead();
  void OnBody(std::string_view aPiece);
  void OnComplete(bool aNoExtraBytes);
  void Fail(UpstreamFault aFault);
  void ReadKeepAlive();

  EventLoop& m_loop;
  const GatewayProtocol& m_protocol;
  sockaddr_in m_peer;
  TcpStream m_stream;
  MessageParser m_parser;
  UpstreamEvents m_events;
  std::string m_pending;
  BudgetedBytes m_pendingBytes;
  std::string m_attemptId;
  ResponseHead m_head;
  std::string m_body;
  BudgetedBytes m_bodyBytes;
  TimePoint m_idleSince{};
  Millis m_idleLimit;
  bool m_busy = false;
  bool m_requestSent = false;
  /** The response being read is interim (1xx) or belongs to another request. */
  bool m_ignoreResponse = false;
  /** The answer is a refusal that cannot be matched to a request. */
  bool m_ambiguous = false;
  /** The connection has received a final response. */
  bool m_hasAnswered = false;
  bool m_bodyFollows = false;
  /** The answer is passed on in pieces, not buffered. */
  bool m_streaming = false;
  bool m_reusable = true;
};

} // namespace sapphirehook

#endif
