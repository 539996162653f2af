#include "sapphirehook/gateway/caller_connection.hpp"

#include "sapphirehook/gateway/internal/answers.hpp"

#include <algorithm>
#include <utility>

namespace sapphirehook {

using namespace internal;

namespace {

/** Maximum bytes of requests that are buffered until they may be read. Above
    this, the connection stops receiving. */
constexpr std::size_t kMaxBacklog = 65'536;
/** Maximum time that written bytes stay unacknowledged before the caller counts
    as disconnected. */
constexpr Millis kAcknowledgeTimeout{ 8000 };
/** Unsent bytes of answers above which an answer that arrives in pieces is
    paused and no further request is read. */
constexpr std::size_t kMaxUnsent = 262'144;

bool
ExpectsContinue(const RequestHead& aHead)
{
  const auto* expect = FindHeader(aHead.m_headers, "Expect");
  return expect != nullptr && EqualNoCase(*expect, "100-continue");
}

} // namespace

/** A request in progress. Receives its answer. */
class CallerConnection::Exchange : public AnswerSink
{
public:
  Exchange(CallerConnection& aConnection, PipelineNumber aNumber)
    : m_connection(aConnection)
    , m_number(aNumber)
  {
  }

  void Answer(const ResponseHead& aHead, std::string_view aBody) override
  {
    OnAnswered();
    m_connection.m_answers.Answer(m_number, aHead, aBody);
    m_connection.OnAnswersChanged();
  }

  void BeginAnswer(const ResponseHead& aHead) override
  {
    m_connection.m_answers.Begin(m_number, aHead);
  }

  void AnswerPiece(std::string_view aPiece) override
  {
    if (!aPiece.empty()) {
      m_connection.m_answers.Piece(m_number, aPiece);
      m_connection.PauseIfCongested(*this);
    }
  }

  void EndAnswer() override
  {
    OnAnswered();
    m_connection.m_answers.End(m_number);
    m_connection.OnAnswersChanged();
  }

  void AbortAnswer() override { Fail(TextHead(kBadGateway), "answer cut off"); }

  void PauseBody(bool aPaused) override
  {
    if (!m_answered && m_connection.m_current.get() == this) {
      m_connection.PauseBody(aPaused);
    }
  }

  /** Answers with an error, or truncates an answer that has begun. */
  void Fail(const ResponseHead& aHead, std::string_view aBody)
  {
    OnAnswered();
    m_connection.m_answers.Abort(m_number, aHead, aBody);
    m_connection.OnAnswersChanged();
  }

  [[nodiscard]] PipelineNumber Number() const noexcept { return m_number; }

  /** Null before the request is passed on, and once it has an answer. */
  TransactionPtr m_transaction;
  bool m_answered = false;
  bool m_paused = false;
  /** Other requests were in progress when it was passed on. */
  bool m_wasBehind = false;
  TimePoint m_answeredAt{};

private:
  void OnAnswered()
  {
    m_transaction = nullptr;
    if (m_connection.m_current.get() == this) {
      m_connection.PauseBody(false); // the rest of the body is skipped
    }
    m_answered = true;
    m_answeredAt = BootClock::now();
  }

  CallerConnection& m_connection;
  PipelineNumber m_number;
};

CallerConnection::CallerConnection(EventLoop& aLoop,
                                   CallerEvents& aEvents,
                                   HeldBytes& aHeld,
                                   std::shared_ptr<MemoryBudget> aBudget)
  : m_loop(aLoop)
  , m_events(aEvents)
  , m_stream(aLoop,
             StreamEvents{ nullptr,
                           [this](std::string_view aBytes) { OnData(aBytes); },
                           [this] {
                             ResumeAnswers();
                             ScheduleBacklog();
                           },
                           [this](StreamEnd) { OnEnd(); } })
  , m_parser(HttpMessageType::Request,
             MessageEvents{ [this] { OnHead(); },
                            [this](std::string_view aPiece) { OnBody(aPiece); },
                            [this] { OnRequestComplete(); } })
  , m_timer(aLoop, [this] { OnTimer(); })
  , m_answers(m_stream, PipelineLimits{}, aHeld)
  , m_budget(std::move(aBudget))
{
  m_stream.SetBudget(m_budget);
}

CallerConnection::~CallerConnection() = default;

void
CallerConnection::Start(int aSocket)
{
  m_stream.Adopt(aSocket, kAcknowledgeTimeout);
  m_parser.LimitHead(m_events.Limits().m_headBytes);
  m_timer.Start(m_events.Limits().m_idleTimeout);
}

bool
CallerConnection::IsBusy() const noexcept
{
  return !m_closed && (m_finishing || !m_answers.IsEmpty() || m_headWaits ||
                       (m_parser.IsInMessage() && !m_parser.IsHeadComplete()) ||
                       m_stream.Undelivered() > 0);
}

void
CallerConnection::OnData(std::string_view aBytes)
{
  const auto self = shared_from_this();
  const TimePoint now = BootClock::now();
  if (m_backlog.empty()) {
    aBytes.remove_prefix(Parse(aBytes, now));
  }
  if (aBytes.empty() || m_readsNothing) {
    return;
  }
  m_backlog.push_back({ std::string(aBytes), 0, now });
  m_backlogBytes += aBytes.size();
  UpdateReading();
}

void
CallerConnection::UpdateReading()
{
  m_stream.SetReading(!m_bodyPaused && m_backlogBytes <= kMaxBacklog);
}

void
CallerConnection::PauseBody(bool aPaused)
{
  if (m_bodyPaused != aPaused && !m_closed) {
    m_bodyPaused = aPaused;
    UpdateReading();
    ScheduleBacklog();
  }
}

bool
CallerConnection::MayParse() const
{
  return !m_readsNothing && !m_headWaits && !m_bodyPaused &&
         (m_parser.IsInMessage() ||
          (m_answers.MayRead() && m_stream.Unsent() <= kMaxUnsent));
}

std::size_t
CallerConnection::Parse(std::string_view aBytes, TimePoint aReceivedAt)
{
  const auto size = aBytes.size();
  while (!aBytes.empty() && MayParse()) {
    if (!m_parser.IsInMessage()) {
      m_timer.Start(m_events.Limits().m_headTimeout);
    }
    m_headReceivedAt =
      m_parser.IsHeadComplete() ? m_headReceivedAt : aReceivedAt;
    aBytes.remove_prefix(m_parser.Feed(aBytes));
    if (m_readsNothing) {
      break;
    }
    if (m_parser.Fault() != ParseFault::None) {
      OnParseFault();
      break;
    }
    if (m_parser.IsComplete()) {
      m_parser.Resume();
      m_parser.LimitHead(m_events.Limits().m_headBytes);
      m_current = nullptr;
      m_bodyBytes = 0;
      RestartIdleTimer();
    }
  }
  return m_readsNothing ? size : size - aBytes.size();
}

void
CallerConnection::ParseBacklog()
{
  while (!m_backlog.empty() && MayParse()) {
    // An answer during the parsing may clear the backlog.
    auto chunk = std::move(m_backlog.front());
    m_backlog.pop_front();
    const auto rest = std::string_view(chunk.m_bytes).substr(chunk.m_parsed);
    const auto used = Parse(rest, chunk.m_receivedAt);
    m_backlogBytes -= used;
    chunk.m_parsed += used;
    if (used < rest.size()) {
      m_backlog.push_front(std::move(chunk));
    }
  }
  if (!m_readsNothing) {
    UpdateReading();
  }
}

/** Parses the backlog later: the request engine calls this while it handles an
    answer. */
void
CallerConnection::ScheduleBacklog()
{
  if (m_backlog.empty() || m_backlogScheduled) {
    return;
  }
  m_backlogScheduled = true;
  m_loop.Defer([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->m_backlogScheduled = false;
      if (self->m_readsNothing) {
        return; // the connection has closed, or closes after its answers
      }
      if (self->m_headWaits &&
          self->m_answers.MayPassOn(self->m_headMayRunEarly)) {
        self->m_headWaits = false;
        self->m_parser.Unpause();
        self->PassOn();
      }
      self->ParseBacklog();
    }
  });
}

void
CallerConnection::OnHead()
{
  m_timer.Stop();
  const auto& head = m_parser.Request();
  if (head.m_bodySize.value_or(0) > m_events.Limits().m_bodyBytes) {
    Refuse(kTooLarge, "request body too large");
    return;
  }
  if (!m_answers.IsEmpty()) {
    m_headMayRunEarly =
      !head.m_hasBody && !ExpectsContinue(head) && m_events.MayRunEarly(head);
    if (!m_answers.MayPassOn(m_headMayRunEarly)) {
      m_headWaits = true;
      m_parser.Pause();
      return;
    }
  }
  PassOn();
}

void
CallerConnection::PassOn()
{
  auto& head = m_parser.Request();
  const RequestArrival arrival{ m_headReceivedAt, m_answers.Depth() };
  const auto number = m_answers.Open({ head.m_method == "HEAD",
                                       m_parser.TakesChunks(),
                                       !m_parser.KeepsAlive() });
  const auto exchange = std::make_shared<Exchange>(*this, number);
  exchange->m_wasBehind = arrival.m_inFront > 0;
  m_exchanges.push_back(exchange);
  m_current = exchange;
  if (ExpectsContinue(head)) {
    m_stream.Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  auto transaction = m_events.OnRequest(*exchange, std::move(head), arrival);
  if (transaction) {
    m_answersDueBy = std::max(m_answersDueBy, transaction->m_deadline);
  }
  if (!exchange->m_answered) {
    exchange->m_transaction = std::move(transaction);
  }
  if (m_closed || m_finishing) {
    // Another answer has ended the connection meanwhile.
    Disconnect(*exchange);
  }
}

void
CallerConnection::OnBody(std::string_view aPiece)
{
  m_bodyBytes += aPiece.size();
  if (!m_current || !m_current->m_transaction) {
    return;
  }
  if (m_bodyBytes > m_events.Limits().m_bodyBytes) {
    Refuse(kTooLarge, "request body too large");
    return;
  }
  m_events.OnRequestBody(m_current->m_transaction, aPiece);
}

void
CallerConnection::OnRequestComplete()
{
  if (m_current && m_current->m_transaction) {
    m_current->m_transaction->m_bodyComplete = true;
    m_events.OnRequestBody(m_current->m_transaction, {});
  }
}

void
CallerConnection::OnParseFault()
{
  if (m_parser.IsHeadComplete() && m_current && m_current->m_answered) {
    // The rest of the body is malformed, and its request has an answer.
    Close();
    return;
  }
  const bool tooLarge = m_parser.Fault() == ParseFault::HeadTooLarge;
  Refuse(tooLarge ? kHeadTooLarge : kBadRequest,
         tooLarge ? "request head too large" : "malformed request");
}

void
CallerConnection::Refuse(int aStatus, std::string_view aReason)
{
  auto exchange = m_current;
  if (!exchange) {
    exchange =
      std::make_shared<Exchange>(*this, m_answers.Open({ .m_closes = true }));
    m_exchanges.push_back(exchange);
  }
  m_answers.CloseAfter(exchange->Number());
  m_readsNothing = true;
  Disconnect(*exchange);
  exchange->Fail(TextHead(aStatus), aReason);
}

void
CallerConnection::OnAnswersChanged()
{
  const auto self = shared_from_this();
  RetireWritten();
  const auto end = m_answers.Ended();
  if (m_closed || m_finishing) {
    return;
  }
  if (end == SequenceEnd::Reset) {
    m_stream.Reset();
    Close();
    return;
  }
  if (end != SequenceEnd::None) {
    m_finishing = true;
    m_readsNothing = true;
    m_timer.Stop();
    m_backlog.clear();
    m_stream.CloseAfterWrite(m_answersDueBy);
    DisconnectAll();
    return;
  }
  ResumeAnswers();
  RestartIdleTimer();
  ScheduleBacklog();
}

/** Removes the requests whose answers are written. */
void
CallerConnection::RetireWritten()
{
  while (!m_exchanges.empty() &&
         !m_answers.IsOpen(m_exchanges.front()->Number())) {
    const auto exchange = std::move(m_exchanges.front());
    m_exchanges.pop_front();
    if (exchange->m_wasBehind) {
      m_events.OnAnswerHeld(BootClock::now() - exchange->m_answeredAt);
    }
    m_loop.Retire(exchange);
  }
}

bool
CallerConnection::IsCongested(const Exchange& aExchange) const
{
  return m_answers.ShouldPause(aExchange.Number()) ||
         (m_answers.IsFirst(aExchange.Number()) &&
          m_stream.Unsent() > m_budget->ConnectionLimit(kMaxUnsent));
}

void
CallerConnection::PauseIfCongested(Exchange& aExchange)
{
  if (!aExchange.m_paused && aExchange.m_transaction &&
      IsCongested(aExchange)) {
    aExchange.m_paused = true;
    m_events.PauseAnswer(aExchange.m_transaction, true);
  }
}

void
CallerConnection::ResumeAnswers()
{
  for (const auto& exchange : m_exchanges) {
    if (exchange->m_paused && !IsCongested(*exchange)) {
      exchange->m_paused = false;
      if (exchange->m_transaction) {
        m_events.PauseAnswer(exchange->m_transaction, false);
      }
    }
  }
}

void
CallerConnection::Disconnect(Exchange& aExchange)
{
  if (aExchange.m_transaction) {
    m_events.OnCallerDisconnected(
      std::exchange(aExchange.m_transaction, nullptr));
  }
}

void
CallerConnection::DisconnectAll()
{
  for (const auto& exchange : m_exchanges) {
    Disconnect(*exchange);
  }
}

} // namespace sapphirehook
