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

/** Takes the requests of callers' connections. */
class CallerEvents
{
public:
  CallerEvents() = default;
  CallerEvents(const CallerEvents&) = delete;
  CallerEvents& operator=(const CallerEvents&) = delete;
  virtual ~CallerEvents() = default;

  /** The head of a request is here. Returns the transaction, or null when the
      request has been answered through the sink already. */
  virtual TransactionPtr OnRequest(AnswerSink& aSink, RequestHead&& aHead) = 0;

  /** More of the body has been added to the transaction. */
  virtual void OnRequestBody(const TransactionPtr& aTransaction,
                             std::string_view aPiece) = 0;

  /** The caller has left before its answer. */
  virtual void OnCallerGone(const TransactionPtr& aTransaction) = 0;

  /** The connection is of no more use. */
  virtual void OnClosed(CallerConnection& aConnection) = 0;

  [[nodiscard]] virtual const CallerLimits& Limits() const = 0;

  /** Whether connections should end after the answer under way. */
  [[nodiscard]] virtual bool IsStopping() const = 0;
};

/** A caller's connection: reads one request after the other and writes the
    answers, each on its own request. */
class CallerConnection
  : public AnswerSink
  , public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(EventLoop& aLoop, CallerEvents& aEvents);

  void Start(int aSocket);

  /** Closes at once when no request is under way. */
  void CloseIfIdle();

  /** Whether a request has been read, in part at least, and not answered. */
  [[nodiscard]] bool IsBusy() const noexcept
  {
    return m_transaction != nullptr ||
           (m_parser.IsInMessage() && !m_answered && !m_finishing);
  }

  void Answer(const ResponseHead& aHead, std::string_view aBody) override;
  void BeginAnswer(const ResponseHead& aHead) override;
  void AnswerPiece(std::string_view aPiece) override;
  void EndAnswer() override;
  void CutAnswer() override;

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
  TimePoint m_requestBegan{};
  bool m_headRead = false;
  bool m_requestRead = false;
  bool m_answered = false;
  bool m_closeAfter = false;
  bool m_chunkedAnswer = false;
  bool m_noBodyAnswer = false;
  bool m_parsing = false;
  /** The last answer is on its way; then the connection ends. */
  bool m_finishing = false;
  bool m_closed = false;
};

} // namespace sapphirehook

#endif
