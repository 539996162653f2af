#include "soak/soak.hpp"

#include "sapphirehook/core/text.hpp"

#include <algorithm>
#include <csignal>
#include <sys/wait.h>

namespace sapphirehook::soak {

namespace {

/** The daemons are ready within this, or the run has failed. */
constexpr Millis kStartWithin{ 15'000 };
constexpr Millis kWatchEvery{ 100 };
constexpr Millis kProbeEvery{ 200 };
/** Time without faults at the end, in which service must come back. */
constexpr Millis kCalmFor{ 10'000 };

} // namespace

Soak::Soak(const GatewayProtocol& aProtocol, SoakOptions aOptions)
  : m_options(std::move(aOptions))
  , m_fleet(m_loop, aProtocol, m_options.m_fleet)
  , m_callers(m_loop,
              aProtocol,
              { m_options.m_perSecond, m_options.m_fleet.m_seed })
  , m_delayed(m_loop)
  , m_watchTimer(m_loop, [this] { Watch(); })
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
      Break("a whole run", "stopped by a signal");
      m_loop.Stop();
    });
  }
  m_watchTimer.StartEvery(kWatchEvery);
  m_loop.Run();
  m_fleet.End();
  m_evidence.m_endpoints = m_fleet.m_runs;
  m_evidence.m_requests = m_callers.Records();
  auto violations = Judge(m_evidence);
  violations.insert(violations.end(), m_violations.begin(), m_violations.end());
  return violations;
}

void
Soak::Break(std::string_view aPromise, std::string aDetail)
{
  m_violations.push_back({ aPromise, std::move(aDetail) });
}

/** Starts traffic and faults. */
void
Soak::Begin()
{
  m_begun = true;
  m_callers.Start();
  m_probeTimer.StartEvery(kProbeEvery);
  const auto schedule = DrawSchedule(
    { m_options.m_fleet.m_seed, m_options.m_length, m_options.m_only });
  for (const auto& fault : schedule) {
    m_delayed.After(fault.m_at, [this, fault] { Inject(fault); });
  }
  m_delayed.After(m_options.m_length, [this] { Calm(); });
}

/** Looks after processes and the rotation. */
void
Soak::Watch()
{
  m_fleet.AskReady();
  m_callers.SetRotation(m_fleet.Rotation());
  if (!m_begun) {
    const bool all = m_fleet.Rotation().size() == m_fleet.m_gateways.size();
    if (all) {
      Begin();
    } else if (BootClock::now() > m_startedAt + kStartWithin) {
      Break("daemons start", "not all were ready in time");
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
    NoteStopEnd(i);
    if (!gateway.m_stopping || !WIFEXITED(status) || WEXITSTATUS(status) != 0) {
      Break("daemons run", Concat(gateway.m_host, " ended with ", status));
    }
    if (!m_ending) {
      m_fleet.StartGateway(i);
    }
  }
  for (auto& endpoint : m_fleet.m_endpoints) {
    if (endpoint.m_process && endpoint.m_process->HasEnded()) {
      endpoint.m_process.reset();
      m_fleet.Collect(endpoint, BootClock::now());
    }
  }
  const bool allEnded =
    std::none_of(m_fleet.m_gateways.begin(),
                 m_fleet.m_gateways.end(),
                 [](const auto& aOne) { return aOne.m_process != nullptr; });
  if (m_ending && allEnded && m_callers.IsIdle()) {
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
    m_evidence.m_configs.push_back({ aAccepted, has });
  });
}

/** Ends all faults; those that have an end of their own end at it. */
void
Soak::Calm()
{
  m_calm = true;
  TimePoint last = BootClock::now();
  for (const auto& disturbance : m_evidence.m_disturbances) {
    last = std::max(last, disturbance.m_to);
  }
  m_evidence.m_calmFrom = last;
  const auto left =
    std::chrono::duration_cast<Millis>(last - BootClock::now()) + kCalmFor;
  m_delayed.After(left, [this] { EndTraffic(); });
}

/** Stops all gateways in a planned way at the end. */
void
Soak::EndTraffic()
{
  m_evidence.m_endedAt = BootClock::now();
  m_callers.Stop();
  m_probeTimer.Stop();
  m_ending = true;
  for (std::size_t i = 0; i < m_fleet.m_gateways.size(); ++i) {
    if (m_fleet.m_gateways[i].m_process) {
      StopGateway(i);
    }
  }
  constexpr Millis kMargin{ 1000 };
  m_delayed.After(kGrace + kMargin, [this] {
    Break("a planned stop ends", "a gateway still runs after its grace");
    m_loop.Stop();
  });
}

} // namespace sapphirehook::soak
