#include "sapphirehook/core/text.hpp"
#include "soak/soak.hpp"

#include <csignal>
#include <utility>

// How faults begin and end.

namespace sapphirehook::soak {

namespace {

/** A process that was killed is started again after this. */
constexpr Millis kRestartAfter{ 200 };
/** Orders that a proxy holds up are reset by their sender after 350 ms. */
constexpr Millis kLinkDelay{ 250 };
constexpr Millis kStoreDelay{ 200 };
/** Slow endpoints take up to this many times as long, so that some requests
    outlast their route's timeout. */
constexpr double kMostSlowness = 15.0;

} // namespace

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
  // What is cut by the kill says nothing of the stop before it.
  NoteStopEnd(aIndex);
  m_delayed.After(kRestartAfter, [this, aIndex] {
    if (!m_fleet.m_gateways[aIndex].m_process && !m_ending) {
      m_fleet.StartGateway(aIndex);
    }
  });
}

/** A gateway's process has ended, and with it the stop that was under way. */
void
Soak::NoteStopEnd(std::size_t aGateway)
{
  for (auto& stop : m_evidence.m_stops) {
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

/** Ends a fault after a time, unless another one is then under way at the same
    place. */
void
Soak::EndLater(const std::string& aPlace,
               Millis aAfter,
               std::function<void()> aEnd)
{
  ++m_underWay[aPlace];
  m_delayed.After(aAfter, [this, aPlace, end = std::move(aEnd)] {
    if (--m_underWay[aPlace] == 0) {
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
  EndLater("store", aFault.m_for, [this] { SetStoreFault({}); });
}

void
Soak::InjectLink(const Fault& aFault)
{
  Note(aFault, aFault.m_for);
  const auto set =
    [&](LoopbackProxy& aLink, const std::string& aName, LinkFault aLinkFault) {
      aLink.SetFault(aLinkFault, kLinkDelay);
      EndLater(
        aName, aFault.m_for, [&aLink] { aLink.SetFault(LinkFault::None, {}); });
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
      EndLater(gateway.m_host + " peers",
               aFault.m_for,
               [this, peers = gateway.m_peers] {
                 m_fleet.m_datagrams.SetLoss(peers, 0.0);
               });
    }
  }
}

} // namespace sapphirehook::soak
