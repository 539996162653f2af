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

/** How an attempt over a connection failed. */
enum class UpstreamFault : unsigned char
{
  /** Nothing listens at the endpoint's address. */
  Refused,
  /** No connection came about in time. */
  NotConnected,
  /** The connection broke after the request had gone out. */
  Broken,
  /** The endpoint sent bytes that are no answer to the request. */
  Garbled,
  /** The answer broke off in the middle. */
  Cut,
};

/** What an attempt tells its owner. */
struct UpstreamEvents
{
  /** The whole answer is here. */
  std::function<void(const ResponseHead&, std::string_view aBody)> m_onAnswer;
  /** The answer is too large to be gathered: head, then pieces, then end. */
  std::function<void(const ResponseHead&)> m_onBegin;
  std::function<void(std::string_view)> m_onPiece;
  std::function<void()> m_onEnd;
  std::function<void(UpstreamFault)> m_onFault;
};

/** A connection to an endpoint that carries one request at a time. Answers
    are matched by the request's id, so that a late second answer to an earlier
    request is dropped. A refusal without an id counts only as the first answer
    on its connection: behind others it may be one of an earlier request. */
class UpstreamConnection
  : public std::enable_shared_from_this<UpstreamConnection>
{
public:
  UpstreamConnection(EventLoop& aLoop,
                     const GatewayProtocol& aProtocol,
                     sockaddr_in aPeer);

  /** Sends a request's head. aBodyFollows tells that SendBody will be called
      until the last piece. */
  void Send(const Transaction& aTransaction,
            std::string aHead,
            bool aBodyFollows,
            UpstreamEvents aEvents);

  /** Sends more of the request's body. */
  void SendBody(std::string_view aPiece, bool aIsChunked, bool aIsLast);

  /** Gives the attempt up and closes; the endpoint then drops the request. */
  void Abandon();

  /** Whether the connection may carry another request. */
  [[nodiscard]] bool IsReusable(TimePoint aNow) const;

  [[nodiscard]] bool IsConnected() const { return m_stream.IsConnected(); }

  /** Called when an idle connection has ended. */
  std::function<void()> m_onIdleEnd;

private:
  void OnData(std::string_view aBytes);
  void OnEnd(StreamEnd aEnd);
  void OnHead();
  void OnBody(std::string_view aPiece);
  void OnComplete(bool aClean);
  void Fail(UpstreamFault aFault);
  void ReadKeepAlive();

  EventLoop& m_loop;
  const GatewayProtocol& m_protocol;
  sockaddr_in m_peer;
  TcpStream m_stream;
  MessageParser m_parser;
  UpstreamEvents m_events;
  std::string m_pending;
  std::string m_attemptId;
  ResponseHead m_head;
  std::string m_body;
  TimePoint m_idleSince{};
  Millis m_idleLimit;
  bool m_busy = false;
  bool m_requestSent = false;
  bool m_foreign = false;
  /** Nobody can tell which request the answer belongs to. */
  bool m_unclear = false;
  /** An answer has come on this connection before. */
  bool m_hasAnswered = false;
  bool m_bodyFollows = false;
  bool m_streaming = false;
  bool m_reusable = true;
};

} // namespace sapphirehook

#endif
