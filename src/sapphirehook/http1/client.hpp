#ifndef SAPPHIREHOOK_HTTP1_CLIENT_HPP
#define SAPPHIREHOOK_HTTP1_CLIENT_HPP

#include "sapphirehook/http1/message_parser.hpp"
#include "sapphirehook/net/tcp_stream.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sapphirehook {

/** A small call whose body is in memory. */
struct HttpCall
{
  std::string m_method;
  /** Path and query. */
  std::string m_target;
  /** Media type of the body; empty when there is no body. */
  std::string m_bodyType;
  std::string m_body;
};

/** The answer to a small call. */
struct HttpAnswer
{
  ResponseHead m_head;
  std::string m_body;
};

/** How a small call ended. */
enum class CallEnd : unsigned char
{
  Answered,
  /** Nothing listens at the address; the call was not sent. */
  Refused,
  /** No connection came about; the call was not sent. */
  NotSent,
  /** It was sent, and its outcome is unknown. */
  NoAnswer,
};

/** Outcome of a small call. */
struct CallResult
{
  CallEnd m_end = CallEnd::NotSent;
  HttpAnswer m_answer;
};

/** An answer that has begun goes on within this time; the queue of a link that
    is full is about half a second long. */
inline constexpr Millis kAnswerGoesOnWithin{ 1000 };

/** Largest answer that is taken unless a client is told otherwise, in bytes: a
    page of a store has 1 MB. */
inline constexpr std::size_t kMostAnswer = std::size_t{ 8 } << 20U;

/** Makes small calls to one address, one at a time over one connection that
    is kept open. */
class HttpClient
{
public:
  using Handler = std::function<void(const CallResult&)>;

  /** A longer answer than aMostAnswer, in bytes, ends its call as one without
      an answer. */
  HttpClient(EventLoop& aLoop,
             sockaddr_in aPeer,
             std::size_t aMostAnswer = kMostAnswer);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** Makes a call. A call must not be made while another is under way. Once its
      answer has begun, it is not given up while bytes keep coming, until
      aMostTime after the call. */
  void Call(const HttpCall& aCall,
            Millis aTimeout,
            Handler aHandler,
            Millis aMostTime = Millis(0));

  /** Opens a connection ahead of the next call, unless there is one. */
  void Connect();

  /** Closes the connection unless a call is under way; the next call opens
      another. */
  void Close()
  {
    if (!m_busy) {
      CloseConnection();
    }
  }

  /** Gives the call under way up, without a call to its handler, and closes
      the connection. */
  void Abort();

  /** Ends the call under way as one without an answer, and resets the
      connection, so that what has not arrived yet never does. */
  void GiveUp();

  [[nodiscard]] bool IsBusy() const noexcept { return m_busy; }

  /** Whether some of the answer to the call under way has come. */
  [[nodiscard]] bool HasAnswerBegun() const noexcept
  {
    return m_busy && m_answerBegun;
  }

  /** When the last bytes of an answer came. */
  [[nodiscard]] TimePoint LastBytesAt() const noexcept { return m_bytesAt; }

  /** When the present connection was established; nothing while there is
      none. */
  [[nodiscard]] std::optional<TimePoint> ConnectedAt() const noexcept
  {
    return IsConnected() ? std::optional(m_connectedAt) : std::nullopt;
  }

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
  /** Closes so that a call which is still on its way does not arrive. */
  void ResetConnection();

  EventLoop& m_loop;
  sockaddr_in m_peer;
  std::size_t m_mostAnswer;
  std::shared_ptr<TcpStream> m_stream;
  std::unique_ptr<MessageParser> m_parser;
  Timer m_timer;
  Handler m_handler;
  HttpAnswer m_answer;
  std::string m_request;
  bool m_busy = false;
  bool m_sent = false;
  bool m_answerBegun = false;
  /** Bytes that come put off the end of the call. */
  bool m_extends = false;
  TimePoint m_bytesAt{};
  /** The call is given up now at the latest. */
  TimePoint m_mostUntil{};
  TimePoint m_connectedAt{};
};

/** Returns the bytes of a call. */
[[nodiscard]] std::string
SerializeCall(const HttpCall& aCall, const sockaddr_in& aPeer);

} // namespace sapphirehook

#endif
