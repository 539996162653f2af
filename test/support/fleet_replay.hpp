#ifndef SAPPHIREHOOK_TEST_SUPPORT_FLEET_REPLAY_HPP
#define SAPPHIREHOOK_TEST_SUPPORT_FLEET_REPLAY_HPP

#include "sapphirehook/placement/endpoint_choice.hpp"
#include "sapphirehook/placement/endpoint_load.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace support {

/** A load on a service without keys, and the fleet that serves it. */
struct FleetLoad
{
  std::size_t m_daemons = 8;
  std::size_t m_endpoints = 8;
  /** Speeds that are assigned to the endpoints in turn. */
  std::vector<double> m_speeds{ 0.7, 0.7, 1.6 };
  std::size_t m_slots = 6;
  /** Whether endpoints state their load in answers. */
  bool m_statesLoad = false;
  double m_requestsPerSecond = 100.0;
  /** Mean duration of a request at speed 1. Durations are log-normal with the
      standard deviation m_spread of the logarithm. A share of the requests is
      longer by a factor. */
  std::chrono::duration<double> m_work{ 0.14 };
  double m_spread = 0.5;
  double m_longShare = 0.03;
  double m_longFactor = 7.0;
  std::chrono::duration<double> m_objective{ 0.5 };
  /** Interval at which daemons report their use of the endpoints. */
  std::chrono::duration<double> m_heartbeatInterval{ 0.15 };
  /** Duration of the traffic. */
  std::chrono::duration<double> m_length{ 20.0 };
  /** Time from which on the first m_slowEndpoints endpoints are slower by a
      factor. */
  std::chrono::duration<double> m_slowAt{ 1e9 };
  std::size_t m_slowEndpoints = 0;
  double m_slowFactor = 1.0;
  /** Time after which a request is abandoned. */
  std::chrono::duration<double> m_timeout{ 1.2 };
};

/** Statistics of the requests of a replay. */
struct FleetOutcome
{
  /** Shares of all requests. */
  double m_inObjective = 0.0;
  double m_refused = 0.0;
  /** Mean time to an answer, in seconds. */
  double m_mean = 0.0;
  /** Requests of the busiest endpoint divided by the mean of all endpoints. */
  double m_imbalance = 0.0;
  /** Number of endpoints without a request. */
  std::size_t m_unused = 0;
  /** Share of the sends to an endpoint whose slots were all occupied while
      another endpoint had a free one. */
  double m_aboveSlots = 0.0;
  /** New connections for each request, if a daemon keeps up to eight idle
      connections to each endpoint for 7 s. */
  double m_newConnections = 0.0;
};

/** Chooses endpoints in the same way as the gateway. */
struct DrawnChoice
{
  explicit DrawnChoice(std::uint32_t aSeed, std::size_t aDaemons)
    : m_chooser(aSeed)
  {
    m_chooser.SetDaemons(aDaemons);
  }

  sapphirehook::EndpointLoad* operator()(
    const std::vector<sapphirehook::EndpointLoad*>& aLoads,
    sapphirehook::TimePoint aNow,
    std::chrono::nanoseconds aTypical)
  {
    const auto cost = [&](const sapphirehook::EndpointLoad& aLoad)
      -> std::optional<std::chrono::nanoseconds> {
      if (!aLoad.HasCapacity(aNow)) {
        return std::nullopt;
      }
      return aLoad.ExpectedFinish(aNow, aTypical, m_chooser.OwnWeight());
    };
    return m_chooser.Choose<sapphirehook::EndpointLoad>({}, aLoads, cost);
  }

  sapphirehook::EndpointChooser m_chooser;
};

/** Always chooses the endpoint with the lowest expected finish time, the first
    one among equals. */
struct BestChoice
{
  BestChoice(std::uint32_t /*aSeed*/, std::size_t /*aDaemons*/) {}

  sapphirehook::EndpointLoad* operator()(
    const std::vector<sapphirehook::EndpointLoad*>& aLoads,
    sapphirehook::TimePoint aNow,
    std::chrono::nanoseconds aTypical) const
  {
    sapphirehook::EndpointLoad* best = nullptr;
    for (auto* load : aLoads) {
      if (load->HasCapacity(aNow) &&
          (best == nullptr || load->ExpectedFinish(aNow, aTypical, 1.0) <
                                best->ExpectedFinish(aNow, aTypical, 1.0))) {
        best = load;
      }
    }
    return best;
  }
};

/** Chooses a random endpoint regardless of its load. */
struct RandomChoice
{
  RandomChoice(std::uint32_t aSeed, std::size_t /*aDaemons*/)
    : m_random(aSeed)
  {
  }

  sapphirehook::EndpointLoad* operator()(
    const std::vector<sapphirehook::EndpointLoad*>& aLoads,
    sapphirehook::TimePoint /*aNow*/,
    std::chrono::nanoseconds /*aTypical*/)
  {
    return aLoads[m_random() % aLoads.size()];
  }

  std::minstd_rand m_random;
};

/** Simulates a load on a fleet of daemons in virtual time. A daemon's view of
    the other daemons' use is as old as their last reports. */
template<typename Choice>
class FleetReplay
{
public:
  explicit FleetReplay(FleetLoad aLoad, unsigned aSeed)
    : m_load(std::move(aLoad))
    , m_random(aSeed)
    , m_endpoints(m_load.m_endpoints)
  {
    for (std::size_t d = 0; d < m_load.m_daemons; ++d) {
      m_daemons.push_back(std::make_unique<Daemon>(
        static_cast<std::uint32_t>(7919 * (d + 1)), m_load));
      Push(Draw() * m_load.m_heartbeatInterval.count(),
           { Event::Report, d, 0 });
    }
    for (std::size_t e = 0; e < m_endpoints.size(); ++e) {
      m_endpoints[e].m_speed = m_load.m_speeds[e % m_load.m_speeds.size()];
    }
    Arrive(0.0);
  }

  FleetOutcome Run()
  {
    while (!m_events.empty()) {
      const Timed next = m_events.top();
      m_events.pop();
      m_now = next.m_at;
      Handle(next.m_event);
    }
    return Outcome();
  }

private:
  using Load = sapphirehook::EndpointLoad;
  static constexpr std::size_t kQueue = 24;
  static constexpr double kRetryWait = 0.01;
  static constexpr double kMaxWaitShare = 0.5;
  static constexpr double kIdleLimit = 7.0;
  static constexpr std::size_t kMaxIdle = 8;

  struct Event
  {
    enum Kind
    {
      Arrival,
      Done,
      Report,
      Timeout,
    };
    Kind m_kind = Arrival;
    std::size_t m_daemon = 0;
    std::size_t m_request = 0;
  };

  struct Timed
  {
    double m_at = 0.0;
    std::uint64_t m_number = 0;
    Event m_event;
    bool operator<(const Timed& aOther) const
    {
      return std::pair(m_at, m_number) >
             std::pair(aOther.m_at, aOther.m_number);
    }
  };

  struct Request
  {
    double m_arrivedAt = 0.0;
    std::size_t m_daemon = 0;
    double m_work = 0.0;
    std::size_t m_endpoint = 0;
    double m_sentAt = 0.0;
    double m_turns = 1.0;
    bool m_running = false;
    bool m_ended = false;
  };

  struct Endpoint
  {
    double m_speed = 1.0;
    std::size_t m_busy = 0;
    std::deque<std::size_t> m_queue;
    std::size_t m_received = 0;
    /** Times since which idle connections exist, by daemon. */
    std::map<std::size_t, std::vector<double>> m_idleSince;
  };

  struct Daemon
  {
    Daemon(std::uint32_t aSeed, const FleetLoad& aLoad)
      : m_choice(aSeed, aLoad.m_daemons)
    {
      for (std::size_t e = 0; e < aLoad.m_endpoints; ++e) {
        m_loads.push_back(std::make_unique<Load>(aLoad.m_slots));
        m_all.push_back(m_loads.back().get());
      }
    }

    Choice m_choice;
    std::vector<std::unique_ptr<Load>> m_loads;
    std::vector<Load*> m_all;
  };

  double Draw() { return std::uniform_real_distribution<>(0.0, 1.0)(m_random); }

  void Push(double aAt, Event aEvent)
  {
    m_events.push({ aAt, m_pushed++, aEvent });
  }

  [[nodiscard]] sapphirehook::TimePoint Now() const
  {
    return sapphirehook::TimePoint(
      std::chrono::nanoseconds(static_cast<long long>((1.0 + m_now) * 1e9)));
  }

  /** Draws the next request, which arrives a random time after aAfter. */
  void Arrive(double aAfter)
  {
    const double at =
      aAfter - std::log(1.0 - Draw()) / m_load.m_requestsPerSecond;
    if (at > m_load.m_length.count()) {
      return;
    }
    std::normal_distribution<> normal;
    double work =
      m_load.m_work.count() * std::exp(m_load.m_spread * normal(m_random) -
                                       m_load.m_spread * m_load.m_spread / 2.0);
    work *= Draw() < m_load.m_longShare ? m_load.m_longFactor : 1.0;
    Request request;
    request.m_arrivedAt = at;
    request.m_work = work;
    request.m_daemon =
      static_cast<std::size_t>(Draw() * static_cast<double>(m_load.m_daemons));
    m_requests.push_back(request);
    Push(at, { Event::Arrival, request.m_daemon, m_requests.size() - 1 });
  }

  void Handle(const Event& aEvent)
  {
    switch (aEvent.m_kind) {
      case Event::Arrival:
        if (m_requests[aEvent.m_request].m_arrivedAt == m_now) {
          Arrive(m_now);
        }
        Place(aEvent.m_request);
        break;
      case Event::Done:
        End(aEvent.m_request, true);
        break;
      case Event::Timeout:
        End(aEvent.m_request, false);
        break;
      case Event::Report:
        Report(aEvent.m_daemon);
        break;
    }
  }

  void Place(std::size_t aRequest)
  {
    auto& request = m_requests[aRequest];
    auto& daemon = *m_daemons[request.m_daemon];
    auto* chosen = daemon.m_choice(
      daemon.m_all,
      Now(),
      std::chrono::duration_cast<std::chrono::nanoseconds>(m_load.m_work));
    if (chosen == nullptr) {
      const double waited = m_now - request.m_arrivedAt;
      if (waited < m_load.m_objective.count() * kMaxWaitShare) {
        Push(m_now + kRetryWait,
             { Event::Arrival, request.m_daemon, aRequest });
      } else {
        ++m_refused;
      }
      return;
    }
    const auto at = std::find(daemon.m_all.begin(), daemon.m_all.end(), chosen);
    request.m_endpoint = static_cast<std::size_t>(at - daemon.m_all.begin());
    auto& endpoint = m_endpoints[request.m_endpoint];
    ++endpoint.m_received;
    Connect(endpoint, request.m_daemon);
    const bool isFull = endpoint.m_busy >= m_load.m_slots;
    m_aboveSlots += isFull && HasFreeEndpoint() ? 1 : 0;
    if (isFull && endpoint.m_queue.size() >= kQueue) {
      ++m_refused;
      return;
    }
    request.m_sentAt = m_now;
    request.m_turns = chosen->OnSent(Now());
    Push(request.m_arrivedAt + m_load.m_timeout.count(),
         { Event::Timeout, request.m_daemon, aRequest });
    if (!isFull) {
      Start(aRequest);
    } else {
      endpoint.m_queue.push_back(aRequest);
    }
  }

  [[nodiscard]] bool HasFreeEndpoint() const
  {
    return std::any_of(
      m_endpoints.begin(), m_endpoints.end(), [&](const Endpoint& aEndpoint) {
        return aEndpoint.m_busy < m_load.m_slots;
      });
  }

  /** Takes an idle connection of a daemon, or counts a new one. */
  void Connect(Endpoint& aEndpoint, std::size_t aDaemon)
  {
    auto& idle = aEndpoint.m_idleSince[aDaemon];
    std::erase_if(idle,
                  [&](double aSince) { return m_now > aSince + kIdleLimit; });
    if (idle.empty()) {
      ++m_newConnections;
    } else {
      idle.pop_back();
    }
  }

  void Start(std::size_t aRequest)
  {
    auto& request = m_requests[aRequest];
    auto& endpoint = m_endpoints[request.m_endpoint];
    ++endpoint.m_busy;
    request.m_running = true;
    const bool slow = request.m_endpoint < m_load.m_slowEndpoints &&
                      m_now >= m_load.m_slowAt.count();
    const double speed = endpoint.m_speed / (slow ? m_load.m_slowFactor : 1.0);
    Push(m_now + request.m_work / speed,
         { Event::Done, request.m_daemon, aRequest });
  }

  void End(std::size_t aRequest, bool aAnswered)
  {
    auto& request = m_requests[aRequest];
    if (request.m_ended) {
      return;
    }
    request.m_ended = true;
    auto& load = *m_daemons[request.m_daemon]->m_loads[request.m_endpoint];
    const auto took = std::chrono::nanoseconds(
      static_cast<long long>((m_now - request.m_sentAt) * 1e9));
    if (aAnswered && m_load.m_statesLoad) {
      const auto& from = m_endpoints[request.m_endpoint];
      load.OnReported(
        Now(), from.m_busy - 1 + from.m_queue.size(), std::nullopt);
    }
    load.OnEnd(Now(),
               aAnswered ? sapphirehook::AttemptEnd::Answered
                         : sapphirehook::AttemptEnd::Abandoned,
               took,
               request.m_turns);
    auto& endpoint = m_endpoints[request.m_endpoint];
    auto& idle = endpoint.m_idleSince[request.m_daemon];
    if (aAnswered && idle.size() < kMaxIdle) {
      idle.push_back(m_now);
    }
    if (!request.m_running) {
      std::erase(endpoint.m_queue, aRequest);
    } else {
      --endpoint.m_busy;
      if (!endpoint.m_queue.empty()) {
        const auto next = endpoint.m_queue.front();
        endpoint.m_queue.pop_front();
        Start(next);
      }
    }
    if (aAnswered) {
      const double took_s = m_now - request.m_arrivedAt;
      ++m_answered;
      m_sum += took_s;
      m_inObjective += took_s <= m_load.m_objective.count() ? 1 : 0;
    }
  }

  void Report(std::size_t aDaemon)
  {
    for (std::size_t e = 0; e < m_endpoints.size(); ++e) {
      auto& own = *m_daemons[aDaemon]->m_loads[e];
      const auto use = own.OwnUse(Now());
      const auto answers = own.TakeAnswers();
      for (std::size_t d = 0; d < m_daemons.size(); ++d) {
        if (d != aDaemon) {
          auto& load = *m_daemons[d]->m_loads[e];
          load.OnPeer(Now(), std::to_string(aDaemon), use);
          load.OnPeerAnswers(answers.m_count, answers.m_service);
        }
      }
    }
    if (m_now < m_load.m_length.count()) {
      Push(m_now + m_load.m_heartbeatInterval.count(),
           { Event::Report, aDaemon, 0 });
    }
  }

  [[nodiscard]] FleetOutcome Outcome() const
  {
    FleetOutcome outcome;
    const auto all = static_cast<double>(m_requests.size());
    outcome.m_inObjective = static_cast<double>(m_inObjective) / all;
    outcome.m_refused = static_cast<double>(m_refused) / all;
    outcome.m_mean = m_sum / std::max(1.0, static_cast<double>(m_answered));
    outcome.m_aboveSlots = static_cast<double>(m_aboveSlots) / all;
    outcome.m_newConnections = static_cast<double>(m_newConnections) / all;
    std::size_t busiest = 0;
    for (const auto& endpoint : m_endpoints) {
      busiest = std::max(busiest, endpoint.m_received);
      outcome.m_unused += endpoint.m_received == 0 ? 1 : 0;
    }
    outcome.m_imbalance = static_cast<double>(busiest) *
                          static_cast<double>(m_endpoints.size()) / all;
    return outcome;
  }

  FleetLoad m_load;
  std::mt19937 m_random;
  double m_now = 0.0;
  std::uint64_t m_pushed = 0;
  std::priority_queue<Timed> m_events;
  std::vector<Request> m_requests;
  std::vector<Endpoint> m_endpoints;
  std::vector<std::unique_ptr<Daemon>> m_daemons;
  std::size_t m_aboveSlots = 0;
  std::size_t m_newConnections = 0;
  std::size_t m_refused = 0;
  std::size_t m_answered = 0;
  std::size_t m_inObjective = 0;
  double m_sum = 0.0;
};

} // namespace support

#endif
