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
/** A process that was killed is started again after this. */
constexpr Millis kRestartAfter{ 200 };
/** Time without faults at the end, in which service must come back. */
constexpr Millis kCalmFor{ 10'000 };
/** The longest time a planned stop may take. */
constexpr Millis kGrace{ 6000 };
/** Orders that a proxy holds up are reset by their sender after 350 ms. */
constexpr Millis kLinkDelay{ 250 };
constexpr Millis kStoreDelay{ 200 };
/** Slow endpoints take up to this many times as long, so that some requests
    outlast their route's timeout. */
constexpr double kMostSlowness = 15.0;

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
    if (gateway.m_stopping) {
      for (auto& stop : m_evidence.m_stops) {
        if (stop.m_gateway == i && stop.m_endedAt == TimePoint::max()) {
          stop.m_endedAt = BootClock::now();
        }
      }
    }
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
Soak::Note(const Fault& aFault, Millis aFor)
{
  const TimePoint now = BootClock::now();
  m_evidence.m_disturbances.push_back({ std::string(FaultName(aFault.m_kind)),
                                        now,
                                        now + aFor,
                                        IsPlanned(aFault.m_kind) });
  ++m_injected[FaultName(aFault.m_kind)];
}

void
Soak::Inject(const Fault& aFault)
{
  if (m_calm) {
    return;
  }
  if (aFault.m_kind <= FaultKind::AllGatewaysKill) {
    InjectGateway(aFault);
  } else if (aFault.m_kind <= FaultKind::EndpointLateGrants) {
    InjectEndpoint(aFault);
  } else if (aFault.m_kind <= FaultKind::StoreForgets) {
    InjectStore(aFault);
  } else if (aFault.m_kind == FaultKind::ConfigChange) {
    Note(aFault, Millis(0));
    ChangeConfig();
  } else {
    InjectLink(aFault);
  }
}

void
Soak::InjectGateway(const Fault& aFault)
{
  const std::size_t index = aFault.m_target % m_fleet.m_gateways.size();
  auto& gateway = m_fleet.m_gateways[index];
  if (aFault.m_kind == FaultKind::AllGatewaysKill) {
    Note(aFault, kRestartAfter);
    for (std::size_t i = 0; i < m_fleet.m_gateways.size(); ++i) {
      KillGateway(i);
    }
    return;
  }
  if (!gateway.m_process || gateway.m_frozen) {
    return;
  }
  switch (aFault.m_kind) {
    case FaultKind::GatewayKill:
      Note(aFault, kRestartAfter);
      KillGateway(index);
      break;
    case FaultKind::GatewayStop:
      if (!gateway.m_stopping) {
        Note(aFault, kGrace);
        StopGateway(index);
      }
      break;
    case FaultKind::GatewayFreeze:
      Note(aFault, aFault.m_for);
      FreezeGateway(index, aFault.m_for);
      break;
    default:
      Note(aFault, Millis(0));
      gateway.m_process->Signal(SIGHUP);
  }
}

void
Soak::KillGateway(std::size_t aIndex)
{
  auto& gateway = m_fleet.m_gateways[aIndex];
  if (!gateway.m_process) {
    return;
  }
  gateway.m_process.reset();
  for (auto& stop : m_evidence.m_stops) {
    // What is cut by the kill says nothing of the stop before it.
    if (stop.m_gateway == aIndex && stop.m_endedAt == TimePoint::max()) {
      stop.m_endedAt = BootClock::now();
    }
  }
  m_delayed.After(kRestartAfter, [this, aIndex] {
    if (!m_fleet.m_gateways[aIndex].m_process && !m_ending) {
      m_fleet.StartGateway(aIndex);
    }
  });
}

void
Soak::StopGateway(std::size_t aIndex)
{
  auto& gateway = m_fleet.m_gateways[aIndex];
  gateway.m_stopping = true;
  m_evidence.m_stops.push_back({ aIndex, BootClock::now(), TimePoint::max() });
  gateway.m_process->Signal(SIGTERM);
}

void
Soak::FreezeGateway(std::size_t aIndex, Millis aFor)
{
  auto& gateway = m_fleet.m_gateways[aIndex];
  gateway.m_frozen = true;
  gateway.m_process->Signal(SIGSTOP);
  m_delayed.After(aFor, [this, aIndex] {
    auto& frozen = m_fleet.m_gateways[aIndex];
    if (frozen.m_frozen && frozen.m_process) {
      m_evidence.m_thaws.push_back(BootClock::now());
      frozen.m_process->Signal(SIGCONT);
    }
    frozen.m_frozen = false;
  });
}

/** Returns an endpoint that is not leaving. */
std::size_t
Soak::DrawEndpoint(std::size_t aTarget) const
{
  const auto& endpoints = m_fleet.m_endpoints;
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    const std::size_t index = (aTarget + i) % endpoints.size();
    if (endpoints[index].m_process && !endpoints[index].m_leaving) {
      return index;
    }
  }
  return endpoints.size();
}

void
Soak::SetEndpointFault(std::size_t aIndex, const EndpointFault& aFault)
{
  auto& control = *m_fleet.m_endpoints[aIndex].m_control;
  if (control.IsBusy()) {
    control.Abort();
  }
  control.Call(EndpointFaultCall(aFault), kGrace, [](const CallResult&) {});
}

void
Soak::InjectEndpoint(const Fault& aFault)
{
  const std::size_t index = DrawEndpoint(aFault.m_target);
  if (index == m_fleet.m_endpoints.size()) {
    return;
  }
  EndpointFault fault;
  switch (aFault.m_kind) {
    case FaultKind::EndpointKill:
      KillEndpoint(index, aFault);
      return;
    case FaultKind::EndpointFreeze: {
      Note(aFault, aFault.m_for);
      m_fleet.m_endpoints[index].m_process->Signal(SIGSTOP);
      const auto name = m_fleet.m_endpoints[index].m_name;
      m_delayed.After(aFault.m_for, [this, index, name] {
        auto& frozen = m_fleet.m_endpoints[index];
        if (frozen.m_process && frozen.m_name == name) {
          frozen.m_process->Signal(SIGCONT);
        }
      });
      return;
    }
    case FaultKind::EndpointReplace:
      Note(aFault, Millis(0));
      m_fleet.m_endpoints[index].m_process->Signal(SIGTERM);
      m_fleet.Replace(index);
      return;
    case FaultKind::EndpointFails:
      fault.m_failShare = aFault.m_strength;
      break;
    case FaultKind::EndpointCutsAnswers:
      fault.m_cutShare = aFault.m_strength / 2;
      break;
    case FaultKind::EndpointMute:
      fault.m_muteShare = aFault.m_strength / 2;
      break;
    case FaultKind::EndpointSlow:
      fault.m_slowness = 1.0 + kMostSlowness * aFault.m_strength;
      break;
    default:
      fault.m_lateShare = aFault.m_strength;
  }
  Note(aFault, aFault.m_for);
  SetEndpointFault(index, fault);
  m_delayed.After(aFault.m_for, [this, index] {
    if (m_fleet.m_endpoints[index].m_process) {
      SetEndpointFault(index, {});
    }
  });
}

void
Soak::KillEndpoint(std::size_t aIndex, const Fault& aFault)
{
  auto& endpoint = m_fleet.m_endpoints[aIndex];
  Note(aFault, aFault.m_for);
  endpoint.m_process.reset();
  m_fleet.Collect(endpoint, BootClock::now());
  // It starts again under its name, or another takes its address.
  const bool sameName = aFault.m_strength < 0.5;
  m_delayed.After(aFault.m_for, [this, aIndex, sameName] {
    auto& lost = m_fleet.m_endpoints[aIndex];
    m_fleet.StartEndpoint(aIndex, sameName ? lost.m_name : lost.m_name + "r");
  });
}

void
Soak::SetStoreFault(const StoreFault& aFault)
{
  m_fleet.CallStore(StoreFaultCall(aFault));
}

void
Soak::InjectStore(const Fault& aFault)
{
  StoreFault fault;
  switch (aFault.m_kind) {
    case FaultKind::StoreForgets:
      Note(aFault, Millis(0));
      m_fleet.CallStore(CompactCall());
      return;
    case FaultKind::StoreBusy:
      fault.m_mode = StoreFault::Mode::Busy;
      break;
    case FaultKind::StoreSilent:
      fault.m_mode = StoreFault::Mode::Silent;
      break;
    case FaultKind::StoreResets:
      fault.m_mode = StoreFault::Mode::Reset;
      break;
    case FaultKind::StoreSlow:
      fault.m_delay = kStoreDelay;
      break;
    case FaultKind::StoreLosesAnswers:
      fault.m_loseShare = aFault.m_strength;
      break;
    default:
      fault.m_lateShare = aFault.m_strength;
  }
  Note(aFault, aFault.m_for);
  SetStoreFault(fault);
  ++m_underWay["store"];
  m_delayed.After(aFault.m_for, [this] {
    if (--m_underWay["store"] == 0) {
      SetStoreFault({});
    }
  });
}

void
Soak::InjectLink(const Fault& aFault)
{
  Note(aFault, aFault.m_for);
  const auto set =
    [&](LoopbackProxy& aLink, const std::string& aName, LinkFault aLinkFault) {
      aLink.SetFault(aLinkFault, kLinkDelay);
      ++m_underWay[aName];
      m_delayed.After(aFault.m_for, [this, &aLink, aName] {
        if (--m_underWay[aName] == 0) {
          aLink.SetFault(LinkFault::None, {});
        }
      });
    };
  auto& gateway =
    m_fleet.m_gateways[aFault.m_target % m_fleet.m_gateways.size()];
  const std::size_t index = DrawEndpoint(aFault.m_target);
  const auto setEndpoint = [&](LinkFault aLinkFault) {
    if (index < m_fleet.m_endpoints.size()) {
      set(*m_fleet.m_endpoints[index].m_link,
          Concat("endpoint", index),
          aLinkFault);
    }
  };
  switch (aFault.m_kind) {
    case FaultKind::StoreLinkCut:
      set(*gateway.m_storeLink, gateway.m_host, LinkFault::Cut);
      break;
    case FaultKind::StoreLinkSilent:
      set(*gateway.m_storeLink, gateway.m_host, LinkFault::OldSilent);
      break;
    case FaultKind::StoreLinkOneWay:
      set(*gateway.m_storeLink,
          gateway.m_host,
          aFault.m_strength < 0.5 ? LinkFault::CutForth : LinkFault::CutBack);
      break;
    case FaultKind::EndpointLinkDelayed:
      setEndpoint(LinkFault::Delayed);
      break;
    case FaultKind::EndpointLinkReset:
      setEndpoint(LinkFault::Reset);
      break;
    case FaultKind::EndpointLinkSilent:
      setEndpoint(LinkFault::OldSilent);
      break;
    case FaultKind::EndpointLinkOneWay:
      setEndpoint(aFault.m_strength < 0.5 ? LinkFault::CutForth
                                          : LinkFault::CutBack);
      break;
    default: {
      const bool cut = aFault.m_kind == FaultKind::PeersCut;
      m_fleet.m_datagrams.SetLoss(gateway.m_peers,
                                  cut ? 1.0 : aFault.m_strength / 2);
      const auto name = gateway.m_host + " peers";
      ++m_underWay[name];
      m_delayed.After(aFault.m_for, [this, name, peers = gateway.m_peers] {
        if (--m_underWay[name] == 0) {
          m_fleet.m_datagrams.SetLoss(peers, 0.0);
        }
      });
    }
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
