#ifndef SAPPHIREHOOK_SOAK_ENDPOINT_HPP
#define SAPPHIREHOOK_SOAK_ENDPOINT_HPP

#include "platform/standin_formats.hpp"
#include "sapphirehook/core/arrival_clock.hpp"
#include "sapphirehook/gateway/protocol.hpp"
#include "soak/delayed_calls.hpp"
#include "soak/history.hpp"
#include "soak/leases.hpp"

#include <deque>
#include <list>
#include <random>
#include <string>

namespace sapphirehook::soak {

/** Path of the endpoints' health checks. */
inline constexpr const char* kHealthPath = "/health";

/** Faults of a stand-in endpoint. */
struct EndpointFault
{
  /** Share of the requests that fail. */
  double m_failShare = 0.0;
  /** Share of the requests that run but whose answer is truncated. */
  double m_truncateShare = 0.0;
  /** Share of the requests that run but are never answered. */
  double m_noAnswerShare = 0.0;
  /** Share of the grants that get no answer and are applied seconds later.
      Their lease duration still counts from their arrival. */
  double m_lateShare = 0.0;
  /** Factor on the duration of work. */
  double m_slowness = 1.0;
};

struct EndpointOptions
{
  std::string m_name;
  std::string m_service;
  std::string m_zone;
  sockaddr_in m_listen{};
  /** Address to which daemons connect. */
  sockaddr_in m_advertised{};
  sockaddr_in m_store{};
  std::string m_historyFile;
  bool m_keyed = false;
  unsigned m_seed = 1;
  /** How much the endpoint's clock runs slow, in parts per million. */
  unsigned m_driftPpm = 0;
};

/** Stand-in of a server. It checks keys, fences and the expected endpoint name,
    runs requests in slots and logs its events to a history file. */
class StandinEndpoint
{
public:
  StandinEndpoint(EventLoop& aLoop,
                  const GatewayProtocol& aProtocol,
                  EndpointOptions aOptions);

  [[nodiscard]] bool Listen();

  /** Marks the endpoint's entry as draining, serves for a further time and then
      stops the event loop. */
  void StartDraining();

private:
  struct Job
  {
    HttpExchangePtr m_exchange;
    std::string m_id;
    std::optional<Key> m_key;
    TimePoint m_deadline{};
    bool m_disconnected = false;
  };
  using JobPtr = std::shared_ptr<Job>;

  struct PendingRelease
  {
    HttpExchangePtr m_exchange;
    KeyRange m_range;
  };

  void OnCall(const HttpExchangePtr& aExchange);
  void OnFault(const HttpExchangePtr& aExchange);
  void OnGrant(const HttpExchangePtr& aExchange);
  [[nodiscard]] bool ApplyGrant(const GrantCommand& aCommand, TimePoint aUntil);
  void OnRelease(const HttpExchangePtr& aExchange);
  void OnRequest(const HttpExchangePtr& aExchange);
  void StartNext();
  void Run(const JobPtr& aJob);
  void OnWorkDone(const JobPtr& aJob);
  void AnswerJob(const Job& aJob);
  void AnswerReleases();
  void RefuseNotRun(const HttpExchangePtr& aExchange, int aStatus);
  void Announce();
  void EndWhenIdle();
  [[nodiscard]] double Draw();
  [[nodiscard]] Millis WorkDuration(const Job& aJob);

  EventLoop& m_loop;
  const GatewayProtocol& m_protocol;
  EndpointOptions m_options;
  EndpointRecord m_record;
  HistoryWriter m_historyFile;
  HttpServer m_server;
  HttpClient m_store;
  Timer m_announceTimer;
  Timer m_tickTimer;
  ArrivalClock m_arrivals;
  DelayedCalls m_delayed;
  std::mt19937 m_random;
  EndpointFault m_fault;
  Leases m_leases;
  std::deque<JobPtr> m_queue;
  std::list<JobPtr> m_running;
  std::list<PendingRelease> m_releases;
  /** Exchanges that are kept open and never answered. */
  std::list<HttpExchangePtr> m_unanswered;
  /** The store has accepted the entry that marks the endpoint as draining. */
  bool m_drainAccepted = false;
  bool m_ended = false;
};

/** Returns the call that sets the faults of an endpoint. */
[[nodiscard]] HttpCall
EndpointFaultCall(const EndpointFault& aFault);

/** Return the body and the signature of the answer to a request. Callers use
    them to detect truncated answers and answers to other requests. */
[[nodiscard]] std::string
BodyOf(const std::string& aId, std::string_view aRequestBody);
[[nodiscard]] std::string
SignatureOf(const std::string& aId);

} // namespace sapphirehook::soak

#endif
