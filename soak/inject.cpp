#include "sapphirehook/core/text.hpp"
#include "soak/soak.hpp"

#include <csignal>
#include <utility>

// Injects faults and schedules their end.

namespace sapphirehook::soak {

namespace {

/** Delay before a killed gateway is started again. */
constexpr Millis kRestartDelay{ 200 };
/** The sender resets a command that is delayed for 350 ms, so the delay of the
    proxy is shorter. */
constexpr Millis kLinkDelay{ 250 };
constexpr Millis kStoreDelay{ 200 };
/** Slow endpoints need up to this many times the normal duration in addition,
    so that some requests exceed the timeout of their route. */
constexpr double kMaxExtraSlowness = 15.0;
/** Longest time for which the store is away before a restore, and the age of
   the oldest copy. */
constexpr Millis kMaxStoreAway{ 1000 };
constexpr Millis kMaxCopyAge{ 5000 };
/** Name of the restore among the active faults. */
constexpr const char* kRestoreFault = "store-restored";
/** Even number of changes of the configuration that a restore loses, and the
    time between them. */
constexpr int kLostChanges = 4;
constexpr Millis kChangeInterval{ 100 };
/** Time after a restore by which all lost records have been written again. */
constexpr Millis kWrittenAgain{ 1500 };
/** Time from then until the second change, which is beyond the time for which
   the checker excuses a fault, and for which a gateway stays cut off from the
   store after that change. */
constexpr Millis kSecondChange{ 3500 };
constexpr Millis kCutAfterChange{ 3500 };

} // namespace

void
Soak::RecordFault(const Fault& aFault, Millis aDuration)
{
  const TimePoint now = BootClock::now();
  m_observations.m_faultIntervals.push_back(
    { std::string(FaultName(aFault.m_kind)),
      now,
      now + aDuration,
      IsPlanned(aFault.m_kind) });
  ++m_injected[FaultName(aFault.m_kind)];
}

void
Soak::Inject(const Fault& aFault)
{
  if (m_faultsEnded) {
    return;
  }
  if (aFault.m_kind <= FaultKind::AllGatewaysKill) {
    InjectGateway(aFault);
  } else if (aFault.m_kind <= FaultKind::EndpointLateGrants) {
    InjectEndpoint(aFault);
  } else if (aFault.m_kind <= FaultKind::StoreForgets) {
    InjectStore(aFault);
  } else if (aFault.m_kind == FaultKind::StoreRestored) {
    RestoreStore(aFault);
  } else if (aFault.m_kind == FaultKind::ConfigChange) {
    RecordFault(aFault, Millis(0));
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
    RecordFault(aFault, kRestartDelay);
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
      RecordFault(aFault, kRestartDelay);
      KillGateway(index);
      break;
    case FaultKind::GatewayStop:
      if (!gateway.m_stopping) {
        RecordFault(aFault, kStopGrace);
        StopGateway(index);
      }
      break;
    case FaultKind::GatewayFreeze:
      RecordFault(aFault, aFault.m_duration);
      FreezeGateway(index, aFault.m_duration);
      break;
    default:
      RecordFault(aFault, Millis(0));
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
  // Requests that the kill cuts off do not count against a planned stop.
  RecordStopEnd(aIndex);
  m_delayed.After(kRestartDelay, [this, aIndex] {
    if (!m_fleet.m_gateways[aIndex].m_process && !m_stoppingAll) {
      m_fleet.StartGateway(aIndex);
    }
  });
}

/** Records the end of a gateway's process as the end of the planned stop in
    progress. */
void
Soak::RecordStopEnd(std::size_t aGateway)
{
  for (auto& stop : m_observations.m_stops) {
    if (stop.m_gateway == aGateway && stop.m_endedAt == TimePoint::max()) {
      stop.m_endedAt = BootClock::now();
    }
  }
}

void
Soak::StopGateway(std::size_t aIndex)
{
  auto& gateway = m_fleet.m_gateways[aIndex];
  gateway.m_stopping = true;
  m_observations.m_stops.push_back(
    { aIndex, BootClock::now(), TimePoint::max() });
  gateway.m_process->Signal(SIGTERM);
}

void
Soak::FreezeGateway(std::size_t aIndex, Millis aDuration)
{
  auto& gateway = m_fleet.m_gateways[aIndex];
  gateway.m_frozen = true;
  gateway.m_process->Signal(SIGSTOP);
  m_delayed.After(aDuration, [this, aIndex] {
    auto& frozen = m_fleet.m_gateways[aIndex];
    if (frozen.m_frozen && frozen.m_process) {
      m_observations.m_resumeTimes.push_back(BootClock::now());
      frozen.m_process->Signal(SIGCONT);
    }
    frozen.m_frozen = false;
  });
}

/** Returns the index of a running endpoint that is not leaving, starting the
    search at the target; the number of endpoints if there is none. */
std::size_t
Soak::PickEndpoint(std::size_t aTarget) const
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
  control.Call(EndpointFaultCall(aFault), kStopGrace, [](const CallResult&) {});
}

void
Soak::InjectEndpoint(const Fault& aFault)
{
  const std::size_t index = PickEndpoint(aFault.m_target);
  if (index == m_fleet.m_endpoints.size()) {
    return;
  }
  EndpointFault fault;
  switch (aFault.m_kind) {
    case FaultKind::EndpointKill:
      KillEndpoint(index, aFault);
      return;
    case FaultKind::EndpointFreeze: {
      RecordFault(aFault, aFault.m_duration);
      m_fleet.m_endpoints[index].m_process->Signal(SIGSTOP);
      const auto name = m_fleet.m_endpoints[index].m_name;
      m_delayed.After(aFault.m_duration, [this, index, name] {
        auto& frozen = m_fleet.m_endpoints[index];
        if (frozen.m_process && frozen.m_name == name) {
          frozen.m_process->Signal(SIGCONT);
        }
      });
      return;
    }
    case FaultKind::EndpointReplace:
      RecordFault(aFault, Millis(0));
      m_fleet.m_endpoints[index].m_process->Signal(SIGTERM);
      m_fleet.Replace(index);
      return;
    case FaultKind::EndpointFails:
      fault.m_failShare = aFault.m_strength;
      break;
    case FaultKind::EndpointCutsAnswers:
      fault.m_truncateShare = aFault.m_strength / 2;
      break;
    case FaultKind::EndpointMute:
      fault.m_noAnswerShare = aFault.m_strength / 2;
      break;
    case FaultKind::EndpointSlow:
      fault.m_slowness = 1.0 + kMaxExtraSlowness * aFault.m_strength;
      break;
    default:
      fault.m_lateShare = aFault.m_strength;
  }
  RecordFault(aFault, aFault.m_duration);
  SetEndpointFault(index, fault);
  m_delayed.After(aFault.m_duration, [this, index] {
    if (m_fleet.m_endpoints[index].m_process) {
      SetEndpointFault(index, {});
    }
  });
}

void
Soak::KillEndpoint(std::size_t aIndex, const Fault& aFault)
{
  auto& endpoint = m_fleet.m_endpoints[aIndex];
  RecordFault(aFault, aFault.m_duration);
  endpoint.m_process.reset();
  m_fleet.CollectHistory(endpoint, BootClock::now());
  // The endpoint restarts under its name, or a new one takes its address.
  const bool sameName = aFault.m_strength < 0.5;
  m_delayed.After(aFault.m_duration, [this, aIndex, sameName] {
    auto& lost = m_fleet.m_endpoints[aIndex];
    m_fleet.StartEndpoint(aIndex, sameName ? lost.m_name : lost.m_name + "r");
  });
}

/** Ends a fault after a delay, unless another fault of the same target is still
    active then. */
void
Soak::ScheduleFaultEnd(const std::string& aFaultTarget,
                       Millis aAfter,
                       std::function<void()> aEnd)
{
  ++m_activeFaults[aFaultTarget];
  m_delayed.After(aAfter, [this, aFaultTarget, end = std::move(aEnd)] {
    if (--m_activeFaults[aFaultTarget] == 0) {
      end();
    }
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
      RecordFault(aFault, Millis(0));
      m_fleet.CallStore(CompactCall());
      return;
    case FaultKind::StoreBusy:
      fault.m_mode = StoreFault::Mode::Busy;
      break;
    case FaultKind::StoreSilent:
      fault.m_mode = StoreFault::Mode::Unresponsive;
      break;
    case FaultKind::StoreResets:
      fault.m_mode = StoreFault::Mode::Reset;
      break;
    case FaultKind::StoreSlow:
      fault.m_delay = kStoreDelay;
      break;
    case FaultKind::StoreLosesAnswers:
      fault.m_lostAnswerShare = aFault.m_strength;
      break;
    default:
      fault.m_lateShare = aFault.m_strength;
  }
  RecordFault(aFault, aFault.m_duration);
  SetStoreFault(fault);
  ScheduleFaultEnd("store", aFault.m_duration, [this] { SetStoreFault({}); });
}

/** Restores the store from a copy that lacks the latest changes of the
    configuration, of which the operator writes only the last again, so that the
    topic ends at a lower offset than before. A later change shows whether a
    gateway misses it. One gateway, the same in all restores, is cut off from
   the store until that change has to be in force, so that it learns of the
   restore from its peers only. */
void
Soak::RestoreStore(const Fault& aFault)
{
  const Millis away = std::min(aFault.m_duration, kMaxStoreAway);
  const Millis changes = kLostChanges * kChangeInterval;
  const auto age = std::chrono::duration_cast<Millis>(
    changes + away + kMaxCopyAge * aFault.m_strength);
  const Millis end = changes + away + kWrittenAgain;
  RecordFault(aFault, end);
  auto& gateway =
    m_fleet.m_gateways[m_options.m_fleet.m_seed % m_fleet.m_gateways.size()];
  auto& link = *gateway.m_storeLink;
  const bool isFirst = m_activeFaults[kRestoreFault] == 0;
  ScheduleFaultEnd(kRestoreFault, end + kSecondChange, [this, &link] {
    if (!m_stoppingAll) {
      ChangeConfig();
    }
    m_delayed.After(kCutAfterChange,
                    [&link] { link.SetFault(LinkFault::None, {}); });
  });
  if (!isFirst) {
    // Another restore in a row, without changes of its own.
    m_fleet.CallStore(RestoreCall(age, away));
    return;
  }
  // The last lost configuration has the route of the probes, and the later one
  // does not: a gateway that misses the latter serves the route.
  for (int i = m_hasProbe ? 0 : 1; i < kLostChanges; ++i) {
    m_delayed.After(kChangeInterval * i, [this] { ChangeConfig(); });
  }
  m_delayed.After(changes, [this, age, away, &link] {
    link.SetFault(LinkFault::Cut, {});
    m_fleet.CallStore(RestoreCall(age, away));
  });
}

void
Soak::InjectLink(const Fault& aFault)
{
  RecordFault(aFault, aFault.m_duration);
  const auto set =
    [&](LoopbackProxy& aLink, const std::string& aName, LinkFault aLinkFault) {
      aLink.SetFault(aLinkFault, kLinkDelay);
      ScheduleFaultEnd(aName, aFault.m_duration, [&aLink] {
        aLink.SetFault(LinkFault::None, {});
      });
    };
  auto& gateway =
    m_fleet.m_gateways[aFault.m_target % m_fleet.m_gateways.size()];
  const std::size_t index = PickEndpoint(aFault.m_target);
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
      set(*gateway.m_storeLink, gateway.m_host, LinkFault::StallOpen);
      break;
    case FaultKind::StoreLinkOneWay:
      set(*gateway.m_storeLink,
          gateway.m_host,
          aFault.m_strength < 0.5 ? LinkFault::DropToTarget
                                  : LinkFault::DropToClient);
      break;
    case FaultKind::EndpointLinkDelayed:
      setEndpoint(LinkFault::Delayed);
      break;
    case FaultKind::EndpointLinkReset:
      setEndpoint(LinkFault::Reset);
      break;
    case FaultKind::EndpointLinkSilent:
      setEndpoint(LinkFault::StallOpen);
      break;
    case FaultKind::EndpointLinkOneWay:
      setEndpoint(aFault.m_strength < 0.5 ? LinkFault::DropToTarget
                                          : LinkFault::DropToClient);
      break;
    default: {
      const bool cut = aFault.m_kind == FaultKind::PeersCut;
      m_fleet.m_datagrams.SetLoss(gateway.m_peers,
                                  cut ? 1.0 : aFault.m_strength / 2);
      ScheduleFaultEnd(gateway.m_host + " peers",
                       aFault.m_duration,
                       [this, peers = gateway.m_peers] {
                         m_fleet.m_datagrams.SetLoss(peers, 0.0);
                       });
    }
  }
}

} // namespace sapphirehook::soak
