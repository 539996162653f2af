#ifndef SAPPHIREHOOK_GATEWAY_TRANSACTION_HPP
#define SAPPHIREHOOK_GATEWAY_TRANSACTION_HPP

#include "sapphirehook/core/memory_budget.hpp"
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

/** Receives the answer to a request. */
class AnswerSink
{
public:
  AnswerSink() = default;
  AnswerSink(const AnswerSink&) = delete;
  AnswerSink& operator=(const AnswerSink&) = delete;
  virtual ~AnswerSink() = default;

  /** Sends a complete answer. */
  virtual void Answer(const ResponseHead& aHead, std::string_view aBody) = 0;

  /** Sends the head of an answer. The body follows in AnswerPiece calls, up to
      EndAnswer or AbortAnswer. */
  virtual void BeginAnswer(const ResponseHead& aHead) = 0;
  virtual void AnswerPiece(std::string_view aPiece) = 0;
  virtual void EndAnswer() = 0;

  /** The rest of the answer is lost. The caller cannot mistake it for a
     complete one: the connection closes, or an error takes the answer's place
     if none of it has been sent. */
  virtual void AbortAnswer() = 0;

  /** Stops or continues to receive the body of the request, so that what is
     buffered of it stays limited. */
  virtual void PauseBody(bool aPaused) = 0;
};

/** State of a caller's request from its admission to its answer. */
struct Transaction
{
  /** Request id that the caller assigned. */
  std::string m_attemptId;
  RequestHead m_head;
  /** Configuration under which the request was admitted. */
  std::shared_ptr<const RouteTable> m_routes;
  const Route* m_route = nullptr;
  std::string m_service;
  std::optional<Key> m_key;

  /** Received part of the body, kept for another attempt. */
  std::string m_body;
  BudgetedBytes m_bodyBytes;
  bool m_bodyComplete = false;
  /** False once the body exceeds the size limit for keeping it. */
  bool m_bodyKept = true;

  TimePoint m_arrivedAt{};
  /** Number of requests in front of it on its connection that were in progress
      when it was admitted. */
  std::size_t m_inFront = 0;
  /** End of the route's target latency, counted from the estimated time of the
      caller's first attempt. */
  TimePoint m_objectiveAt{};
  /** Latest time of the final answer to the caller. */
  TimePoint m_deadline{};
  /** Time at which the caller stops waiting. */
  TimePoint m_callerDeadline{};

  unsigned m_sends = 0;
  std::set<std::string> m_triedEndpoints;
  bool m_mayHaveRun = false;
  /** Part of an answer has been sent to the caller. */
  bool m_answering = false;
  bool m_done = false;
  bool m_waiting = false;
  /** The host's link had no capacity for the answer. */
  bool m_waitedForLink = false;
  /** Number of the request in its service's queue. */
  std::uint64_t m_queueId = 0;
  /** Whether the share of its kind does not include the request: it is served
      only by an endpoint with capacity. */
  bool m_overShare = false;
  /** Number of sends that the endpoint refused because it does not hold the
      key. */
  unsigned m_misdirected = 0;
  TimePoint m_waitStartedAt{};
  /** Earliest time of the next send. */
  TimePoint m_notBefore{};
  TimePoint m_sentAt{};
  /** Expected slowdown of the attempt when it was sent: the multiple of the
      service time that it takes. */
  double m_slowdown = 1.0;
  /** Work relative to the service's mean, as of the send. */
  double m_work = 1.0;
  /** Expected time in the endpoint's queue and in a slot, as of the send. */
  std::chrono::nanoseconds m_expectedQueue{};
  std::chrono::nanoseconds m_expectedService{};
  /** When the engine next checks whether the endpoint is unresponsive. */
  TimePoint m_checkAt = TimePoint::max();
  /** The log has the reason why the attempt goes on at an unresponsive
      endpoint. */
  bool m_silenceLogged = false;
  /** Bytes of the answer's body, and whether the request counts as a download
      in progress. */
  std::uint64_t m_answerBytes = 0;
  bool m_isDownloading = false;
  std::string m_sentTo;

  std::shared_ptr<UpstreamConnection> m_upstream;
  /** Connections on which an endpoint refused the request. The endpoint may
      write the refusal a second time with the same request id, so a retry uses
      another connection. */
  std::vector<std::weak_ptr<UpstreamConnection>> m_refusedOn;
  std::unique_ptr<Timer> m_timer;
  /** Null once the caller has disconnected or has its answer. */
  AnswerSink* m_sink = nullptr;
};

using TransactionPtr = std::shared_ptr<Transaction>;

} // namespace sapphirehook

#endif
