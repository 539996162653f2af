#ifndef SAPPHIREHOOK_GATEWAY_CALLER_CONNECTION_HPP
#define SAPPHIREHOOK_GATEWAY_CALLER_CONNECTION_HPP

#include "sapphirehook/gateway/transaction.hpp"
#include "sapphirehook/http1/message_parser.hpp"
#include "sapphirehook/net/tcp_stream.hpp"

#include <functional>
#include <memory>
#include <string>

namespace sapphirehook {

class CallerConnection;

/** Interface that receives the requests from callers' connections. */
class CallerEvents
{
public:
  CallerEvents() = default;
  CallerEvents(const CallerEvents&) = delete;
  CallerEvents& operator=(const CallerEvents&) = delete;
  virtual ~CallerEvents() = default;

  /** The head of a request is complete. Returns the transaction, or null if the
      request has already been answered through the sink. */
  virtual TransactionPtr OnRequest(AnswerSink& aSink, RequestHead&& aHead) = 0;

  /** A piece of the body has arrived. It is empty at the end of the request. */
  virtual void OnRequestBody(const TransactionPtr& aTransaction,
                             std::string_view aPiece) = 0;

  /** The request has ended without a complete answer: the caller has
      disconnected, its request is invalid, or the answer is aborted. */
  virtual void OnCallerDisconnected(const TransactionPtr& aTransaction) = 0;

  /** The connection is closed. */
  virtual void OnClosed(CallerConnection& aConnection) = 0;

  [[nodiscard]] virtual const CallerLimits& Limits() const = 0;

  /** Returns whether connections close after the answer in progress. */
  [[nodiscard]] virtual bool IsStopping() const = 0;
};

/** Connection from a caller. Processes one request at a time and buffers
    pipelined requests until the answer is written. */
class CallerConnection
  : public AnswerSink
  , public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(EventLoop& aLoop, CallerEvents& aEvents);

  void Start(int aSocket);

  /** Closes the connection if no request is in progress. */
  void CloseIfIdle();

  /** Returns whether a request has been read, at least in part, and not yet
      answered. */
  [[nodiscard]] bool IsBusy() const noexcept
  {
    return m_transaction != nullptr ||
           (m_parser.IsInMessage() && !m_answered && !m_finishing);
  }

  void Answer(const ResponseHead& aHead, std::string_view aBody) override;
  void BeginAnswer(const ResponseHead& aHead) override;
  void AnswerPiece(std::string_view aPiece) override;
  void EndAnswer() override;
  void AbortAnswer() override;

private:
  void OnData(std::string_view aBytes);
  void Parse(std::string_view aBytes);
  void OnHead();
  void OnBody(std::string_view aPiece);
  void OnRequestComplete();
  void OnEnd();
  void OnTimer();
  void Refuse(int aStatus, std::string_view aReason);
  std::string SerializeHead(const ResponseHead& aHead, bool aChunked);
  void FinishAnswer();
  void NextRequest();
  void Close();

  EventLoop& m_loop;
  CallerEvents& m_events;
  TcpStream m_stream;
  MessageParser m_parser;
  Timer m_timer;
  std::string m_backlog;
  TransactionPtr m_transaction;
  std::uint64_t m_bodyBytes = 0;
  TimePoint m_requestStartedAt{};
  bool m_headRead = false;
  bool m_requestRead = false;
  bool m_answered = false;
  bool m_closeAfterAnswer = false;
  bool m_chunkedAnswer = false;
  bool m_noBodyAnswer = false;
  bool m_parsing = false;
  /** The last answer is being written; the connection closes afterwards. */
  bool m_finishing = false;
  bool m_closed = false;
};

} // namespace sapphirehook

#endif
