#ifndef SAPPHIREHOOK_HTTP1_CLIENT_HPP
#define SAPPHIREHOOK_HTTP1_CLIENT_HPP

#include "sapphirehook/http1/message_parser.hpp"
#include "sapphirehook/net/tcp_stream.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sapphirehook {

/** An HTTP call with its whole body in memory. */
struct HttpCall
{
  std::string m_method;
  /** Path and query. */
  std::string m_target;
  /** Media type of the body; empty when there is no body. */
  std::string m_bodyType;
  std::string m_body;
  /** Further headers. */
  std::vector<Header> m_headers{};
};

/** The answer to an HttpCall. */
struct HttpAnswer
{
  ResponseHead m_head;
  std::string m_body;
};

/** How an HttpCall ended. */
enum class CallEnd : unsigned char
{
  Answered,
  /** The peer refused the connection; the call was not sent. */
  Refused,
  /** No connection was established; the call was not sent. */
  NotSent,
  /** The call was sent, and its outcome is unknown. */
  NoAnswer,
};

/** Result of an HttpCall. */
struct CallResult
{
  CallEnd m_end = CallEnd::NotSent;
  HttpAnswer m_answer;
};

/** Maximum time between two pieces of an answer. The queue of a saturated link
    is about half a second long. */
inline constexpr Millis kAnswerIdleTimeout{ 1000 };

/** Default limit of an answer's body. A page of a store has 1 MB. */
inline constexpr std::size_t kDefaultMaxAnswerBytes = std::size_t{ 8 } << 20U;

/** Makes calls to one address, one at a time over one persistent connection. */
class HttpClient
{
public:
  using Handler = std::function<void(const CallResult&)>;

  /** An answer with a body of more than aMaxAnswerBytes ends its call with
      CallEnd::NoAnswer. */
  HttpClient(EventLoop& aLoop,
             sockaddr_in aPeer,
             std::size_t aMaxAnswerBytes = kDefaultMaxAnswerBytes);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** Makes a call. Requires that no other call is in flight. If aMaxDuration is
      longer than aTimeout, the call does not time out while bytes of its answer
      keep arriving within kAnswerIdleTimeout, until aMaxDuration after the
      start of the call. */
  void Call(const HttpCall& aCall,
            Millis aTimeout,
            Handler aHandler,
            Millis aMaxDuration = Millis(0));

  /** Opens a connection ahead of the next call if there is none. */
  void Connect();

  /** Closes the connection unless a call is in flight. The next call opens a
      new one. */
  void Close()
  {
    if (!m_busy) {
      CloseConnection();
    }
  }

  /** Cancels the call in flight without calling its handler, and resets the
      connection. */
  void Abort();

  /** Ends the call in flight without an answer, and resets the connection, so
      that bytes that the peer has not received yet are discarded. */
  void AbandonCall();

  [[nodiscard]] bool IsBusy() const noexcept { return m_busy; }

  /** Returns whether a part of the answer to the call in flight has arrived. */
  [[nodiscard]] bool HasAnswerBegun() const noexcept
  {
    return m_busy && m_answerBegun;
  }

  /** Returns when the last bytes of an answer arrived. */
  [[nodiscard]] TimePoint LastBytesAt() const noexcept { return m_lastBytesAt; }

  /** Returns when the current connection was established; nothing if there is
      none. */
  [[nodiscard]] std::optional<TimePoint> ConnectedAt() const noexcept
  {
    return IsConnected() ? std::optional(m_connectedAt) : std::nullopt;
  }

  /** Decides whether a call may be sent on a connection that was established
      for it at a time. If not, the call ends as not sent, and the connection
      stays open. Optional. */
  std::function<bool(TimePoint aConnectedAt)> m_maySend;

  [[nodiscard]] bool IsConnected() const noexcept
  {
    return m_stream && m_stream->IsConnected();
  }

private:
  void Open();
  void OnConnected();
  void OnData(std::string_view aBytes);
  void OnEnd(StreamEnd aEnd);
  void OnComplete();
  void Finish(CallEnd aEnd);
  void CloseConnection();
  /** Closes the connection with a reset, so that a call that the peer has not
      received yet is discarded. */
  void ResetConnection();

  EventLoop& m_loop;
  sockaddr_in m_peer;
  std::size_t m_maxAnswerBytes;
  std::shared_ptr<TcpStream> m_stream;
  std::unique_ptr<MessageParser> m_parser;
  Timer m_timer;
  Handler m_handler;
  HttpAnswer m_answer;
  std::string m_request;
  bool m_busy = false;
  bool m_sent = false;
  bool m_answerBegun = false;
  /** Received bytes extend the timeout of the call. */
  bool m_extendsTimeout = false;
  TimePoint m_lastBytesAt{};
  /** The call times out at this time at the latest. */
  TimePoint m_finalDeadline{};
  TimePoint m_connectedAt{};
};

/** Serializes a call as an HTTP/1.1 request. */
[[nodiscard]] std::string
SerializeCall(const HttpCall& aCall, const sockaddr_in& aPeer);

} // namespace sapphirehook

#endif
