#ifndef SAPPHIREHOOK_GATEWAY_TRANSACTION_HPP
#define SAPPHIREHOOK_GATEWAY_TRANSACTION_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/http1/head.hpp"
#include "sapphirehook/keys/range.hpp"
#include "sapphirehook/net/event_loop.hpp"
#include "sapphirehook/routing/route_table.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphirehook {

class UpstreamConnection;

/** Where a transaction's answer goes. */
class AnswerSink
{
public:
  AnswerSink() = default;
  AnswerSink(const AnswerSink&) = delete;
  AnswerSink& operator=(const AnswerSink&) = delete;
  virtual ~AnswerSink() = default;

  /** Sends a whole answer. */
  virtual void Answer(const ResponseHead& aHead, std::string_view aBody) = 0;

  /** Sends the head of an answer whose body follows in pieces. */
  virtual void BeginAnswer(const ResponseHead& aHead) = 0;
  virtual void AnswerPiece(std::string_view aPiece) = 0;
  virtual void EndAnswer() = 0;

  /** Breaks the connection off, so that what has been sent cannot be taken
      for a whole answer. */
  virtual void CutAnswer() = 0;
};

/** One request of a caller on its way. */
struct Transaction
{
  /** The caller's name for the request. */
  std::string m_attemptId;
  RequestHead m_head;
  /** The configuration under which it was admitted. */
  std::shared_ptr<const RouteTable> m_routes;
  const Route* m_route = nullptr;
  std::string m_service;
  std::optional<Key> m_key;

  /** As much of the body as has come; kept for another attempt. */
  std::string m_body;
  bool m_bodyComplete = false;
  /** False once the body is too large to be kept. */
  bool m_bodyKept = true;

  TimePoint m_arrivedAt{};
  /** An answer after this no longer counts in full. */
  TimePoint m_objectiveAt{};
  /** The caller has its final answer by then. */
  TimePoint m_deadline{};
  /** The end of the caller's own wait. */
  TimePoint m_callerDeadline{};

  unsigned m_sends = 0;
  std::set<std::string> m_tried;
  bool m_mayHaveRun = false;
  /** Part of an answer has gone to the caller. */
  bool m_answering = false;
  bool m_done = false;
  bool m_waiting = false;
  /** The endpoint that it waits for, if it waits for one only. */
  std::string m_waitsFor;
  /** Sends that came back as sent to the wrong holder of the key. */
  unsigned m_misdirected = 0;
  TimePoint m_waitsFrom{};
  /** It is not sent before this. */
  TimePoint m_notBefore{};
  TimePoint m_sentAt{};
  /** Services' time that the attempt was expected to take when sent. */
  double m_turns = 1.0;
  std::string m_sentTo;

  std::shared_ptr<UpstreamConnection> m_upstream;
  /** Connections on which it was refused. The refusal may be written there once
      more, and would name this request again. */
  std::vector<std::weak_ptr<UpstreamConnection>> m_refusedOn;
  std::unique_ptr<Timer> m_timer;
  /** Null once the caller has left. */
  AnswerSink* m_sink = nullptr;
};

using TransactionPtr = std::shared_ptr<Transaction>;

} // namespace sapphirehook

#endif
