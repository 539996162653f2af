#ifndef SAPPHIREHOOK_SOAK_ENDPOINT_HPP
#define SAPPHIREHOOK_SOAK_ENDPOINT_HPP

#include "platform/standin_formats.hpp"
#include "sapphirehook/core/arrival_clock.hpp"
#include "sapphirehook/gateway/protocol.hpp"
#include "soak/delayed_calls.hpp"
#include "soak/journal.hpp"
#include "soak/leases.hpp"

#include <deque>
#include <list>
#include <random>
#include <string>

namespace sapphirehook::soak {

/** How an endpoint misbehaves. */
struct EndpointFault
{
  /** Part of the requests that fail. */
  double m_failShare = 0.0;
  /** Part of the requests that run and whose answer is cut short. */
  double m_cutShare = 0.0;
  /** Part of the requests that run and are never answered. */
  double m_muteShare = 0.0;
  /** Part of the grants that get no answer and are carried out seconds later;
      their time counts from their arrival. */
  double m_lateShare = 0.0;
  /** Work lasts this many times as long. */
  double m_slowness = 1.0;
};

struct EndpointOptions
{
  std::string m_name;
  std::string m_service;
  std::string m_zone;
  sockaddr_in m_listen{};
  /** Where daemons connect. */
  sockaddr_in m_advertised{};
  sockaddr_in m_store{};
  std::string m_journal;
  bool m_keyed = false;
  unsigned m_seed = 1;
  /** How much its clock is slow, in parts per million. */
  unsigned m_driftPpm = 0;
};

/** Stand-in of a server that checks keys, fences and its name, runs requests in
    slots, and writes down all that it does. */
class StandinEndpoint
{
public:
  StandinEndpoint(EventLoop& aLoop,
                  const GatewayProtocol& aProtocol,
                  EndpointOptions aOptions);

  [[nodiscard]] bool Listen();

  /** Announces that it leaves, serves on for a time, and ends the loop. */
  void Leave();

private:
  struct Job
  {
    HttpExchangePtr m_exchange;
    std::string m_id;
    std::optional<Key> m_key;
    TimePoint m_deadline{};
    bool m_gone = false;
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
  [[nodiscard]] bool ApplyGrant(const GrantCommand& aOrder, TimePoint aUntil);
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
  [[nodiscard]] Millis WorkOf(const Job& aJob);

  EventLoop& m_loop;
  const GatewayProtocol& m_protocol;
  EndpointOptions m_options;
  EndpointRecord m_record;
  JournalWriter m_journal;
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
  /** Exchanges that are never answered. */
  std::list<HttpExchangePtr> m_unanswered;
  /** The store has accepted that it leaves. */
  bool m_leaves = false;
  bool m_ended = false;
};

/** Sets an endpoint's faults. */
[[nodiscard]] HttpCall
EndpointFaultCall(const EndpointFault& aFault);

/** What an endpoint answers to a request, so that callers can tell whether an
    answer is whole and theirs. */
[[nodiscard]] std::string
BodyOf(const std::string& aId, std::string_view aRequestBody);
[[nodiscard]] std::string
SignatureOf(const std::string& aId);

} // namespace sapphirehook::soak

#endif
