#ifndef SAPPHIREHOOK_GATEWAY_INTERNAL_CALLER_EXCHANGE_HPP
#define SAPPHIREHOOK_GATEWAY_INTERNAL_CALLER_EXCHANGE_HPP

#include "sapphirehook/gateway/caller_connection.hpp"
#include "sapphirehook/gateway/internal/answers.hpp"

namespace sapphirehook {

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

  void AbortAnswer() override
  {
    Fail(internal::TextHead(internal::kBadGateway), "answer cut off");
  }

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

} // namespace sapphirehook

#endif
