#ifndef SAPPHIREHOOK_SOAK_SCHEDULE_HPP
#define SAPPHIREHOOK_SOAK_SCHEDULE_HPP

#include "sapphirehook/core/time.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sapphirehook::soak {

/** Kind of a fault. A target is the number of a gateway or an endpoint. */
enum class FaultKind : unsigned char
{
  GatewayKill,
  /** A planned stop, followed by a restart. */
  GatewayStop,
  GatewayFreeze,
  GatewayReload,
  AllGatewaysKill,
  EndpointKill,
  EndpointFreeze,
  /** The endpoint drains, and a new endpoint replaces it. */
  EndpointReplace,
  EndpointFails,
  EndpointCutsAnswers,
  EndpointMute,
  EndpointSlow,
  /** Grants get no answer and are applied later. */
  EndpointLateGrants,
  StoreBusy,
  StoreSilent,
  StoreResets,
  StoreSlow,
  StoreLosesAnswers,
  StoreLateAppends,
  StoreForgets,
  /** Faults of the link from one gateway to the store. */
  StoreLinkCut,
  StoreLinkSilent,
  StoreLinkOneWay,
  /** Faults of the links from all gateways to one endpoint. */
  EndpointLinkDelayed,
  EndpointLinkReset,
  EndpointLinkSilent,
  EndpointLinkOneWay,
  /** Loss of the datagrams of one gateway. */
  PeersCut,
  PeersLossy,
  ConfigChange,
  /** The store is away and comes back with the state of some seconds before.
      Only drawn on request, so that the seeds of earlier failures keep their
      faults. */
  StoreRestored,
};

inline constexpr std::size_t kFaultKinds =
  static_cast<std::size_t>(FaultKind::StoreRestored) + 1;

/** Number of the kinds of which a schedule of all kinds consists. */
inline constexpr std::size_t kMixedFaultKinds =
  static_cast<std::size_t>(FaultKind::ConfigChange) + 1;

[[nodiscard]] std::string_view
FaultName(FaultKind aKind);

/** Whether a fault is planned work, which callers do not notice. */
[[nodiscard]] bool
IsPlanned(FaultKind aKind);

/** One fault of a run. */
struct Fault
{
  FaultKind m_kind = FaultKind::GatewayKill;
  /** Time since the start of the faults. */
  Millis m_at{};
  Millis m_duration{};
  std::size_t m_target = 0;
  /** Strength from 0 to 1; its meaning depends on the kind, e.g. a share of
      requests. */
  double m_strength = 0.0;
};

struct ScheduleOptions
{
  unsigned m_seed = 1;
  Millis m_faultPeriod{};
  /** Name of the only fault kind to draw; all kinds if empty. */
  std::string m_onlyKind;
  /** Whether to restore the store beside the drawn faults, which stay the same.
   */
  bool m_restoresStore = false;
};

/** Draws the faults of a run: single faults, series of one kind, and
    overlapping faults. The same seed produces the same faults. */
[[nodiscard]] std::vector<Fault>
DrawSchedule(const ScheduleOptions& aOptions);

} // namespace sapphirehook::soak

#endif
