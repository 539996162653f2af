#ifndef SAPPHIREHOOK_TEST_SUPPORT_ADMISSION_REPLAY_HPP
#define SAPPHIREHOOK_TEST_SUPPORT_ADMISSION_REPLAY_HPP

#include "sapphirehook/admission/admission_control.hpp"
#include "sapphirehook/admission/service_queue.hpp"
#include "sapphirehook/admission/wait_policy.hpp"
#include "sapphirehook/placement/endpoint_choice.hpp"
#include "sapphirehook/placement/endpoint_load.hpp"

#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace support {

/** Requests of one kind in a replay. */
struct KindLoad
{
  sapphirehook::Route m_route;
  double m_perSecond = 0.0;
  std::chrono::duration<double> m_work{};
};

/** A load of several kinds on one service without keys. */
struct AdmissionLoad
{
  std::size_t m_daemons = 68;
  std::size_t m_endpoints = 45;
  std::vector<KindLoad> m_kinds;
  /** Whether the capacity is divided among the kinds. */
  bool m_divides = true;
  std::chrono::duration<double> m_length{ 15.0 };
};

/** Results of one kind, by caller: a caller may send several attempts. */
struct KindOutcome
{
  std::size_t m_callers = 0;
  std::size_t m_inObjective = 0;
  std::size_t m_served = 0;
  std::size_t m_refusals = 0;
  std::size_t m_earlyRefusals = 0;

  [[nodiscard]] double InObjective() const
  {
    return static_cast<double>(m_inObjective) / static_cast<double>(m_callers);
  }
  [[nodiscard]] double Served() const
  {
    return static_cast<double>(m_served) / static_cast<double>(m_callers);
  }
  [[nodiscard]] double EarlyRefusals() const
  {
    return m_refusals == 0 ? 1.0
                           : static_cast<double>(m_earlyRefusals) /
                               static_cast<double>(m_refusals);
  }
};

/** Replays a load in virtual time on endpoints of 3 slots with a queue of 12.
    In a large fleet, daemons learn of each other's figures 300 ms late, in a
    small one 150 ms. Callers whose
    request is refused come back after the Retry-After value. */
class AdmissionReplay
{
public:
  AdmissionReplay(AdmissionLoad aLoad, unsigned aSeed)
    : m_load(std::move(aLoad))
    , m_random(aSeed)
    , m_endpoints(m_load.m_endpoints)
    , m_outcomes(m_load.m_kinds.size())
  {
    m_leaderLoads.assign(m_endpoints.size(),
                         sapphirehook::EndpointLoad(kSlots));
    sapphirehook::RoutingConfig config;
    for (auto& kind : m_load.m_kinds) {
      kind.m_route.m_targets = { { kService, 1 } };
      config.m_routes.push_back(kind.m_route);
    }
    double weights = 0.0;
    for (std::size_t d = 0; d < m_load.m_daemons; ++d) {
      m_daemons.push_back(std::make_unique<Daemon>(
        static_cast<std::uint32_t>(7919 * (d + 1)), m_load));
      if (m_load.m_divides) {
        m_daemons.back()->m_admission.SetRoutes(config);
      }
      // The busiest daemon has about six times the traffic of the least busy.
      weights += 0.4 + 2.0 * std::pow(Draw(), 2.0);
      m_weights.push_back(weights);
    }
    for (std::size_t e = 0; e < m_endpoints.size(); ++e) {
      m_endpoints[e].m_speed =
        0.5 +
        static_cast<double>(e) / static_cast<double>(m_endpoints.size() - 1);
    }
    for (std::size_t kind = 0; kind < m_load.m_kinds.size(); ++kind) {
      Arrive(kind);
    }
    At(kTick, [this] { Exchange(); });
  }

  std::vector<KindOutcome> Run()
  {
    while (!m_events.empty()) {
      auto next = m_events.top();
      m_events.pop();
      m_now = next.m_at;
      next.m_action();
    }
    return m_outcomes;
  }

private:
  static constexpr const char* kService = "service";
  static constexpr std::size_t kSlots = 3;
  static constexpr std::size_t kQueue = 12;
  static constexpr double kTick = 0.15;
  /** Age of the reports in ticks. */
  static constexpr std::size_t kDelay = 2;
  static constexpr double kSpread = 0.5;
  static constexpr double kMaxSpeed = 1.5;

  struct Request
  {
    std::size_t m_kind = 0;
    std::size_t m_daemon = 0;
    double m_firstAt = 0.0;
    double m_arrivedAt = 0.0;
    double m_work = 0.0;
    std::uint64_t m_id = 0;
    std::size_t m_endpoint = 0;
    sapphirehook::TimePoint m_sentAt{};
    double m_slowdown = 1.0;
    unsigned m_sends = 0;
    bool m_waiting = false;
  };
  using RequestPtr = std::shared_ptr<Request>;

  struct Endpoint
  {
    double m_speed = 1.0;
    std::size_t m_busy = 0;
    std::deque<RequestPtr> m_queue;
  };

  struct Daemon
  {
    Daemon(std::uint32_t aSeed, const AdmissionLoad& aLoad)
      : m_chooser(aSeed)
      , m_admission(aSeed)
      , m_loads(aLoad.m_endpoints, sapphirehook::EndpointLoad(kSlots))
    {
      m_chooser.SetDaemons(aLoad.m_daemons);
      m_admission.SetDaemons(aLoad.m_daemons);
      for (auto& load : m_loads) {
        m_all.push_back(&load);
      }
    }

    sapphirehook::EndpointChooser m_chooser;
    sapphirehook::AdmissionControl m_admission;
    std::vector<sapphirehook::EndpointLoad> m_loads;
    std::vector<sapphirehook::EndpointLoad*> m_all;
    sapphirehook::ServiceQueue<RequestPtr> m_queue;
  };

  struct Timed
  {
    double m_at = 0.0;
    std::uint64_t m_number = 0;
    std::function<void()> m_action;
    bool operator<(const Timed& aOther) const
    {
      return std::pair(m_at, m_number) >
             std::pair(aOther.m_at, aOther.m_number);
    }
  };

  double Draw() { return std::uniform_real_distribution<>(0.0, 1.0)(m_random); }

  void At(double aTime, std::function<void()> aAction)
  {
    m_events.push({ aTime, m_pushed++, std::move(aAction) });
  }

  static std::chrono::nanoseconds Span(double aSeconds)
  {
    return std::chrono::nanoseconds(static_cast<long long>(aSeconds * 1e9));
  }
  static sapphirehook::TimePoint Time(double aSeconds)
  {
    return sapphirehook::TimePoint(Span(1.0 + aSeconds));
  }
  [[nodiscard]] sapphirehook::TimePoint Now() const { return Time(m_now); }

  [[nodiscard]] const sapphirehook::Route& RouteOf(const Request& aOne) const
  {
    return m_load.m_kinds[aOne.m_kind].m_route;
  }

  std::size_t DrawDaemon()
  {
    const auto at = std::upper_bound(
      m_weights.begin(), m_weights.end(), Draw() * m_weights.back());
    return static_cast<std::size_t>(at - m_weights.begin());
  }

  void Arrive(std::size_t aKind)
  {
    const auto& kind = m_load.m_kinds[aKind];
    const double at = m_now - std::log(1.0 - Draw()) / kind.m_perSecond;
    if (at > m_load.m_length.count()) {
      return;
    }
    At(at, [this, aKind] {
      auto request = std::make_shared<Request>();
      std::normal_distribution<> normal;
      request->m_kind = aKind;
      request->m_firstAt = m_now;
      request->m_work =
        m_load.m_kinds[aKind].m_work.count() *
        std::exp(kSpread * normal(m_random) - kSpread * kSpread / 2.0);
      ++m_outcomes[aKind].m_callers;
      Receive(request);
      Arrive(aKind);
    });
  }

  /** Handles an attempt of a caller, at any daemon. */
  void Receive(const RequestPtr& aRequest)
  {
    aRequest->m_daemon = DrawDaemon();
    aRequest->m_arrivedAt = m_now;
    aRequest->m_sends = 0;
    aRequest->m_id = ++m_lastId;
    auto& admission = m_daemons[aRequest->m_daemon]->m_admission;
    const auto kind = KindOf(RouteOf(*aRequest));
    admission.OnArrival(Now(), kService, kind);
    if (admission.IsDue(Now(), kService)) {
      sapphirehook::AdmissionControl::Capacity capacity;
      for (const auto& load : m_daemons[aRequest->m_daemon]->m_loads) {
        capacity.m_slots += static_cast<double>(kSlots);
        capacity.m_busy +=
          static_cast<double>(std::min(load.Running(Now()), kSlots));
      }
      admission.Divide(Now(), kService, capacity);
    }
    if (!admission.Admits(kService, kind)) {
      Refuse(aRequest, admission.RetrySpread(kService));
      return;
    }
    Place(aRequest);
  }

  sapphirehook::EndpointLoad* Choose(const Request& aRequest)
  {
    auto& daemon = *m_daemons[aRequest.m_daemon];
    const auto reserve =
      daemon.m_admission.ReserveFor(kService, KindOf(RouteOf(aRequest)));
    const auto typical = Span(m_load.m_kinds[aRequest.m_kind].m_work.count());
    const auto cost = [&](const sapphirehook::EndpointLoad& aLoad)
      -> std::optional<std::chrono::nanoseconds> {
      const auto index =
        static_cast<std::size_t>(&aLoad - daemon.m_loads.data());
      // Draws endpoints in proportion to their speed, as the placement aims to.
      // Its own choice is replayed elsewhere.
      const bool isDrawn = Draw() * kMaxSpeed < m_endpoints[index].m_speed;
      return isDrawn && aLoad.HasCapacity(Now(), reserve)
               ? std::optional(std::chrono::nanoseconds(0))
               : std::nullopt;
    };
    return daemon.m_chooser.Choose<sapphirehook::EndpointLoad>(
      {}, daemon.m_all, cost);
  }

  [[nodiscard]] sapphirehook::WaitTerms TermsOf(const Request& aRequest) const
  {
    const auto& route = RouteOf(aRequest);
    return { Time(aRequest.m_arrivedAt),
             Time(aRequest.m_firstAt) + route.m_objective,
             Time(aRequest.m_firstAt) + route.m_timeout,
             route.m_objective,
             Span(m_load.m_kinds[aRequest.m_kind].m_work.count()) };
  }

  void Place(const RequestPtr& aRequest)
  {
    auto& daemon = *m_daemons[aRequest->m_daemon];
    if (auto* load = Choose(*aRequest)) {
      Send(aRequest, *load);
      return;
    }
    const auto& route = RouteOf(*aRequest);
    const sapphirehook::QueueEntry entry{ aRequest->m_id,
                                          KindOf(route),
                                          Time(aRequest->m_firstAt) +
                                            route.m_objective,
                                          {} };
    const auto wait = sapphirehook::ExpectedQueueWait(
      static_cast<double>(daemon.m_queue.Ahead(entry) * m_load.m_daemons),
      static_cast<double>(kSlots * m_endpoints.size()),
      Span(0.1));
    const auto terms = TermsOf(*aRequest);
    if (Now() + wait > LatestStart(terms)) {
      Refuse(aRequest, wait);
      return;
    }
    daemon.m_queue.Add(entry, aRequest);
    daemon.m_admission.OnQueued(kService, entry.m_kind);
    aRequest->m_waiting = true;
    const auto attempt = aRequest->m_id;
    const double until =
      std::chrono::duration<double>(LatestStart(terms) - Now()).count();
    At(m_now + until, [this, aRequest, attempt] {
      if (aRequest->m_waiting && aRequest->m_id == attempt) {
        Dequeue(aRequest);
        Refuse(aRequest, Span(0.0));
      }
    });
  }

  void Dequeue(const RequestPtr& aRequest)
  {
    auto& daemon = *m_daemons[aRequest->m_daemon];
    aRequest->m_waiting = false;
    daemon.m_queue.Remove(aRequest->m_id);
    daemon.m_admission.OnDequeued(kService, KindOf(RouteOf(*aRequest)));
  }

  void Send(const RequestPtr& aRequest, sapphirehook::EndpointLoad& aLoad)
  {
    auto& request = *aRequest;
    auto& daemon = *m_daemons[request.m_daemon];
    request.m_endpoint =
      static_cast<std::size_t>(&aLoad - daemon.m_loads.data());
    request.m_sentAt = Now();
    request.m_slowdown = aLoad.OnSent(Now());
    ++request.m_sends;
    auto& endpoint = m_endpoints[request.m_endpoint];
    if (endpoint.m_busy < kSlots) {
      Start(aRequest);
    } else if (endpoint.m_queue.size() < kQueue) {
      endpoint.m_queue.push_back(aRequest);
    } else {
      aLoad.OnEnd(
        Now(), sapphirehook::AttemptEnd::NotRun, Span(0.0), request.m_slowdown);
      request.m_sends < 2 ? Place(aRequest) : Refuse(aRequest, Span(0.1));
    }
  }

  void Start(const RequestPtr& aRequest)
  {
    auto& endpoint = m_endpoints[aRequest->m_endpoint];
    ++endpoint.m_busy;
    At(m_now + aRequest->m_work / endpoint.m_speed,
       [this, aRequest] { OnAnswer(aRequest); });
  }

  void OnAnswer(const RequestPtr& aRequest)
  {
    auto& endpoint = m_endpoints[aRequest->m_endpoint];
    --endpoint.m_busy;
    if (!endpoint.m_queue.empty()) {
      const auto next = endpoint.m_queue.front();
      endpoint.m_queue.pop_front();
      Start(next);
    }
    auto& daemon = *m_daemons[aRequest->m_daemon];
    const auto took = Now() - aRequest->m_sentAt;
    daemon.m_loads[aRequest->m_endpoint].OnEnd(
      Now(), sapphirehook::AttemptEnd::Answered, took, aRequest->m_slowdown);
    daemon.m_admission.OnAnswer(kService, KindOf(RouteOf(*aRequest)), took);
    const auto& route = RouteOf(*aRequest);
    const auto all = Span(m_now - aRequest->m_firstAt);
    auto& outcome = m_outcomes[aRequest->m_kind];
    outcome.m_inObjective += all <= route.m_objective ? 1 : 0;
    outcome.m_served += all <= route.m_timeout ? 1 : 0;
    ProcessQueue(daemon);
  }

  void ProcessQueue(Daemon& aDaemon)
  {
    aDaemon.m_queue.Walk([&](const RequestPtr& aRequest) {
      auto* load = aRequest->m_waiting ? Choose(*aRequest) : nullptr;
      if (load == nullptr) {
        return sapphirehook::WalkStep::KindWaits;
      }
      Dequeue(aRequest);
      Send(aRequest, *load);
      return sapphirehook::WalkStep::Taken;
    });
  }

  void Refuse(const RequestPtr& aRequest, std::chrono::nanoseconds aSpread)
  {
    const auto& route = RouteOf(*aRequest);
    auto& outcome = m_outcomes[aRequest->m_kind];
    const auto waited = Span(m_now - aRequest->m_arrivedAt);
    ++outcome.m_refusals;
    outcome.m_earlyRefusals += waited <= route.m_objective / 8 ? 1 : 0;
    const auto left = Time(aRequest->m_firstAt) + route.m_timeout - Now();
    const auto after = sapphirehook::RetryAfter(
      std::to_string(aRequest->m_id), {}, aSpread, left);
    if (after < left) {
      At(m_now + std::chrono::duration<double>(after).count(),
         [this, aRequest] { Receive(aRequest); });
    }
  }

  /** Collects the figures of all daemons and delivers those of some ticks
      ago. */
  void Exchange()
  {
    std::vector<sapphirehook::EndpointLoad::Use> uses(m_endpoints.size());
    std::vector<std::vector<sapphirehook::KindUse>> own;
    for (std::size_t e = 0; e < m_endpoints.size(); ++e) {
      for (auto& daemon : m_daemons) {
        const auto answers = daemon->m_loads[e].TakeAnswers();
        m_leaderLoads[e].OnPeerAnswers(answers.m_count, answers.m_service);
      }
    }
    for (std::size_t d = 0; d < m_daemons.size(); ++d) {
      for (std::size_t e = 0; e < uses.size(); ++e) {
        const auto use = m_daemons[d]->m_loads[e].OwnUse(Now());
        uses[e].m_running += use.m_running;
        uses[e].m_overdue += use.m_overdue;
      }
      own.push_back(m_daemons[d]->m_admission.Report(Now(), true));
      m_leader.OnPeer(Now(), std::to_string(d), own.back());
    }
    m_reports.push_back(
      { std::move(uses), std::move(own), m_leader.Totals(Now()) });
    if (m_reports.size() > (HasLeader() ? kDelay : 1)) {
      for (std::size_t d = 0; d < m_daemons.size(); ++d) {
        Deliver(d, m_reports.front());
        ProcessQueue(*m_daemons[d]);
      }
      m_reports.pop_front();
    }
    if (m_now < m_load.m_length.count()) {
      At(m_now + kTick, [this] { Exchange(); });
    }
  }

  struct Totals
  {
    std::vector<sapphirehook::EndpointLoad::Use> m_uses;
    /** Demand at each daemon, and at all of them. */
    std::vector<std::vector<sapphirehook::KindUse>> m_own;
    std::vector<sapphirehook::KindUse> m_all;
  };

  /** Returns whether the daemons report to a leader, as in a large fleet. */
  [[nodiscard]] bool HasLeader() const { return m_daemons.size() > 16; }

  void Deliver(std::size_t aDaemon, const Totals& aTotals)
  {
    auto& daemon = *m_daemons[aDaemon];
    for (std::size_t e = 0; e < m_endpoints.size(); ++e) {
      auto use = aTotals.m_uses[e];
      const auto own = daemon.m_loads[e].OwnUse(Now());
      use.m_running -= std::min(use.m_running, own.m_running);
      use.m_overdue -= std::min(use.m_overdue, own.m_overdue);
      daemon.m_loads[e].OnPeer(Now(), "fleet", use);
      daemon.m_loads[e].OnFleetService(m_leaderLoads[e].ServiceTime());
    }
    if (HasLeader()) {
      daemon.m_admission.OnFleetUse(Now(), aTotals.m_all);
      return;
    }
    for (std::size_t d = 0; d < m_daemons.size(); ++d) {
      if (d != aDaemon) {
        daemon.m_admission.OnPeerUse(
          Now(), std::to_string(d), aTotals.m_own[d]);
      }
    }
  }

  AdmissionLoad m_load;
  std::mt19937 m_random;
  double m_now = 0.0;
  std::uint64_t m_pushed = 0;
  std::uint64_t m_lastId = 0;
  std::priority_queue<Timed> m_events;
  std::vector<Endpoint> m_endpoints;
  std::vector<std::unique_ptr<Daemon>> m_daemons;
  /** Cumulated traffic weights of the daemons. */
  std::vector<double> m_weights;
  sapphirehook::FleetDemand m_leader;
  std::vector<sapphirehook::EndpointLoad> m_leaderLoads;
  std::deque<Totals> m_reports;
  std::vector<KindOutcome> m_outcomes;
};

} // namespace support

#endif
