#ifndef SAPPHIREHOOK_GATEWAY_CALLER_CONNECTION_HPP
#define SAPPHIREHOOK_GATEWAY_CALLER_CONNECTION_HPP

#include "sapphirehook/gateway/transaction.hpp"
#include "sapphirehook/http1/message_parser.hpp"
#include "sapphirehook/net/tcp_stream.hpp"
#include "sapphirehook/pipeline/answer_sequence.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace sapphirehook {

class CallerConnection;

/** How a request arrived on its connection. */
struct RequestArrival
{
  /** Time at which its head was received. */
  TimePoint m_at{};
  /** Number of requests in front of it that are in progress. */
  std::size_t m_inFront = 0;
};

/** Interface that receives the requests from callers' connections. */
class CallerEvents
{
public:
  CallerEvents() = default;
  CallerEvents(const CallerEvents&) = delete;
  CallerEvents& operator=(const CallerEvents&) = delete;
  virtual ~CallerEvents() = default;

  /** Returns whether a request may run although the answers in front of it on
      its connection are not written: if the connection closes before its turn,
      the caller sends it again. */
  [[nodiscard]] virtual bool MayRunEarly(const RequestHead& aHead) const = 0;

  /** The head of a request is complete. Returns the transaction, or null if the
      request has already been answered through the sink. */
  virtual TransactionPtr OnRequest(AnswerSink& aSink,
                                   RequestHead&& aHead,
                                   const RequestArrival& aArrival) = 0;

  /** A piece of the body has arrived. It is empty at the end of the request. */
  virtual void OnRequestBody(const TransactionPtr& aTransaction,
                             std::string_view aPiece) = 0;

  /** Pauses or resumes an answer that arrives in pieces. */
  virtual void PauseAnswer(const TransactionPtr& aTransaction,
                           bool aPaused) = 0;

  /** The request has ended without a complete answer: the caller has
      disconnected, its request is invalid, or the answer is aborted. */
  virtual void OnCallerDisconnected(const TransactionPtr& aTransaction) = 0;

  /** A complete answer has waited for its turn. */
  virtual void OnAnswerHeld(std::chrono::nanoseconds aFor) = 0;

  /** The connection is closed. */
  virtual void OnClosed(CallerConnection& aConnection) = 0;

  [[nodiscard]] virtual const CallerLimits& Limits() const = 0;
};

/** Connection from a caller. Several of its requests may be in progress at
    once; AnswerSequence decides which, and orders their answers. */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(EventLoop& aLoop,
                   CallerEvents& aEvents,
                   HeldBytes& aHeld,
                   std::shared_ptr<MemoryBudget> aBudget);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  void Start(int aSocket);

  /** Makes the connection close after the requests that are in progress. */
  void BeginStop() { m_answers.BeginStop(); }

  /** Begins to close the connection if no request is in progress. */
  void CloseIfIdle()
  {
    if (!IsBusy() && m_backlog.empty()) {
      CloseIdle();
    }
  }

  /** Returns whether a request has been read, at least in part, and its caller
      has not acknowledged the whole answer. A connection that is closing is
     busy until its caller has closed it too. */
  [[nodiscard]] bool IsBusy() const noexcept;

private:
  class Exchange;

  /** Received bytes that are not all parsed yet. */
  struct Chunk
  {
    std::string m_bytes;
    std::size_t m_parsed = 0;
    TimePoint m_receivedAt{};
  };

  void OnData(std::string_view aBytes);
  /** Parses bytes as far as requests may be read. Returns how many. */
  std::size_t Parse(std::string_view aBytes, TimePoint aReceivedAt);
  [[nodiscard]] bool MayParse() const;
  void ParseBacklog();
  void ScheduleBacklog();
  void OnHead();
  void OnBody(std::string_view aPiece);
  void OnRequestComplete();
  void OnParseFault();
  /** Passes on the request whose head is parsed. */
  void PassOn();
  void OnEnd();
  void OnTimer();
  /** Answers the request that is being read, or a new one, with an error and
      closes the connection after it. */
  void Refuse(int aStatus, std::string_view aReason);
  /** Updates the connection after its answers have changed. */
  void OnAnswersChanged();
  void RetireWritten();
  [[nodiscard]] bool IsCongested(const Exchange& aExchange) const;
  /** Stops or continues to read the body of the current request. */
  void PauseBody(bool aPaused);
  void UpdateReading();
  void PauseIfCongested(Exchange& aExchange);
  void ResumeAnswers();
  void RestartIdleTimer();
  void Disconnect(Exchange& aExchange);
  void DisconnectAll();
  /** Closes a connection on which nothing is in progress. A request that
     crosses this is left unread, so that the caller can send it again. */
  void CloseIdle();
  void Close();

  EventLoop& m_loop;
  CallerEvents& m_events;
  TcpStream m_stream;
  MessageParser m_parser;
  Timer m_timer;
  AnswerSequence<TcpStream> m_answers;
  /** Requests in progress, in order, as m_answers numbers them. */
  std::deque<std::shared_ptr<Exchange>> m_exchanges;
  /** The request whose body is being read. */
  std::shared_ptr<Exchange> m_current;
  std::deque<Chunk> m_backlog;
  std::size_t m_backlogBytes = 0;
  std::shared_ptr<MemoryBudget> m_budget;
  /** The body that is being read has to wait: what was read of it is not passed
      on yet. */
  bool m_bodyPaused = false;
  std::uint64_t m_bodyBytes = 0;
  TimePoint m_headReceivedAt{};
  /** Latest deadline of the requests on this connection. Until then the caller
      may pause while it receives an answer. */
  TimePoint m_answersDueBy{};
  /** A head is parsed, and its request waits until it may be passed on. */
  bool m_headWaits = false;
  bool m_headMayRunEarly = false;
  bool m_backlogScheduled = false;
  /** A closing answer is queued or sent: what follows counts as not read. */
  bool m_readsNothing = false;
  /** The last answer is being sent; the connection closes afterwards. */
  bool m_finishing = false;
  bool m_closed = false;
};

} // namespace sapphirehook

#endif
