#include "soak/soak.hpp"

#include "sapphirehook/core/text.hpp"

#include <algorithm>
#include <csignal>
#include <sys/wait.h>

namespace sapphirehook::soak {

namespace {

/** The run fails if not all daemons are ready within this time. */
constexpr Millis kStartTimeout{ 15'000 };
constexpr Millis kPollInterval{ 100 };
constexpr Millis kProbeInterval{ 200 };
/** Time without faults at the end of a run, in which service recovers. */
constexpr Millis kRecoveryPeriod{ 10'000 };

} // namespace

Soak::Soak(const GatewayProtocol& aProtocol, SoakOptions aOptions)
  : m_options(std::move(aOptions))
  , m_fleet(m_loop, aProtocol, m_options.m_fleet)
  , m_callers(m_loop,
              aProtocol,
              { m_options.m_requestRate, m_options.m_fleet.m_seed })
  , m_delayed(m_loop)
  , m_pollTimer(m_loop, [this] { Poll(); })
  , m_probeTimer(m_loop, [this] { Probe(); })
{
}

std::vector<Violation>
Soak::Run()
{
  m_fleet.Start();
  m_startedAt = BootClock::now();
  ChangeConfig();
  for (const int number : { SIGINT, SIGTERM }) {
    m_loop.OnSignal(number, [this] {
      AddViolation("a whole run", "stopped by a signal");
      m_loop.Stop();
    });
  }
  m_pollTimer.StartEvery(kPollInterval);
  m_loop.Run();
  m_fleet.StopAll();
  m_observations.m_endpoints = m_fleet.m_runs;
  m_observations.m_requests = m_callers.Records();
  auto violations = CheckPromises(m_observations);
  violations.insert(violations.end(), m_violations.begin(), m_violations.end());
  return violations;
}

void
Soak::AddViolation(std::string_view aPromise, std::string aDetail)
{
  m_violations.push_back({ aPromise, std::move(aDetail) });
}

/** Starts traffic and faults. */
void
Soak::StartTraffic()
{
  m_trafficStarted = true;
  m_callers.Start();
  m_probeTimer.StartEvery(kProbeInterval);
  const auto schedule = DrawSchedule({ m_options.m_fleet.m_seed,
                                       m_options.m_faultPeriod,
                                       m_options.m_onlyKind,
                                       m_options.m_restoresStore });
  for (const auto& fault : schedule) {
    m_delayed.After(fault.m_at, [this, fault] { Inject(fault); });
  }
  m_delayed.After(m_options.m_faultPeriod, [this] { EndFaults(); });
}

/** Updates the rotation, starts the traffic once all gateways are ready,
    restarts gateways that have ended and collects the histories of endpoints
    that have ended. */
void
Soak::Poll()
{
  m_fleet.PollReadiness();
  m_callers.SetRotation(m_fleet.Rotation());
  if (!m_trafficStarted) {
    const bool all = m_fleet.Rotation().size() == m_fleet.m_gateways.size();
    if (all) {
      StartTraffic();
    } else if (BootClock::now() > m_startedAt + kStartTimeout) {
      AddViolation("daemons start", "not all were ready in time");
      m_loop.Stop();
    }
    return;
  }
  for (std::size_t i = 0; i < m_fleet.m_gateways.size(); ++i) {
    auto& gateway = m_fleet.m_gateways[i];
    if (!gateway.m_process || !gateway.m_process->HasEnded()) {
      continue;
    }
    const int status = gateway.m_process->Status().value_or(0);
    gateway.m_process.reset();
    RecordStopEnd(i);
    if (!gateway.m_stopping || !WIFEXITED(status) || WEXITSTATUS(status) != 0) {
      AddViolation("daemons run",
                   Concat(gateway.m_host, " ended with ", status));
    }
    if (!m_stoppingAll) {
      m_fleet.StartGateway(i);
    }
  }
  for (auto& endpoint : m_fleet.m_endpoints) {
    if (endpoint.m_process && endpoint.m_process->HasEnded()) {
      endpoint.m_process.reset();
      m_fleet.CollectHistory(endpoint, BootClock::now());
    }
  }
  const bool allEnded =
    std::none_of(m_fleet.m_gateways.begin(),
                 m_fleet.m_gateways.end(),
                 [](const auto& aOne) { return aOne.m_process != nullptr; });
  if (m_stoppingAll && allEnded && m_callers.IsIdle()) {
    m_loop.Stop();
  }
}

void
Soak::Probe()
{
  for (const auto& [gateway, address] : m_fleet.Rotation()) {
    m_callers.SendProbe(gateway, address);
  }
}

void
Soak::ChangeConfig()
{
  m_hasProbe = !m_hasProbe;
  m_fleet.PutConfig(m_hasProbe, [this, has = m_hasProbe](TimePoint aAccepted) {
    m_observations.m_configs.push_back({ aAccepted, has });
  });
}

/** Injects no further faults. Active faults last until their scheduled end. */
void
Soak::EndFaults()
{
  m_faultsEnded = true;
  TimePoint last = BootClock::now();
  for (const auto& disturbance : m_observations.m_faultIntervals) {
    last = std::max(last, disturbance.m_to);
  }
  m_observations.m_faultsEndedAt = last;
  const auto left =
    std::chrono::duration_cast<Millis>(last - BootClock::now()) +
    kRecoveryPeriod;
  m_delayed.After(left, [this] { EndTraffic(); });
}

/** Ends the traffic and stops all gateways with a planned stop. */
void
Soak::EndTraffic()
{
  m_observations.m_endedAt = BootClock::now();
  m_callers.Stop();
  m_probeTimer.Stop();
  m_stoppingAll = true;
  for (std::size_t i = 0; i < m_fleet.m_gateways.size(); ++i) {
    if (m_fleet.m_gateways[i].m_process) {
      StopGateway(i);
    }
  }
  constexpr Millis kMargin{ 1000 };
  m_delayed.After(kStopGrace + kMargin, [this] {
    AddViolation("a planned stop ends", "a gateway still runs after its grace");
    m_loop.Stop();
  });
}

} // namespace sapphirehook::soak
