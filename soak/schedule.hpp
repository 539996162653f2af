#ifndef SAPPHIREHOOK_SOAK_SCHEDULE_HPP
#define SAPPHIREHOOK_SOAK_SCHEDULE_HPP

#include "sapphirehook/core/time.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sapphirehook::soak {

/** What a fault does. Targets are numbers of gateways or endpoints. */
enum class FaultKind : unsigned char
{
  GatewayKill,
  /** A planned stop and a new start. */
  GatewayStop,
  GatewayFreeze,
  GatewayReload,
  AllGatewaysKill,
  EndpointKill,
  EndpointFreeze,
  /** The endpoint leaves, and another takes its place. */
  EndpointReplace,
  EndpointFails,
  EndpointCutsAnswers,
  EndpointMute,
  EndpointSlow,
  /** Grants get no answer and are carried out later. */
  EndpointLateGrants,
  StoreBusy,
  StoreSilent,
  StoreResets,
  StoreSlow,
  StoreLosesAnswers,
  StoreLateAppends,
  StoreForgets,
  /** One gateway's way to the store. */
  StoreLinkCut,
  StoreLinkSilent,
  StoreLinkOneWay,
  /** All gateways' ways to one endpoint. */
  EndpointLinkDelayed,
  EndpointLinkReset,
  EndpointLinkSilent,
  EndpointLinkOneWay,
  /** Datagrams of one gateway. */
  PeersCut,
  PeersLossy,
  ConfigChange,
};

inline constexpr std::size_t kFaultKinds =
  static_cast<std::size_t>(FaultKind::ConfigChange) + 1;

[[nodiscard]] std::string_view
FaultName(FaultKind aKind);

/** Whether a fault is planned work that callers should not notice. */
[[nodiscard]] bool
IsPlanned(FaultKind aKind);

/** One fault of a run. */
struct Fault
{
  FaultKind m_kind = FaultKind::GatewayKill;
  /** From the start of the faults. */
  Millis m_at{};
  Millis m_for{};
  std::size_t m_target = 0;
  /** A part of something, a delay, or another measure of its strength. */
  double m_strength = 0.0;
};

struct ScheduleOptions
{
  unsigned m_seed = 1;
  Millis m_length{};
  /** When set, only faults of this kind. */
  std::string m_only;
};

/** Draws the faults of a run: single ones, series of one kind, and several at
    once. The same seed gives the same faults. */
[[nodiscard]] std::vector<Fault>
DrawSchedule(const ScheduleOptions& aOptions);

} // namespace sapphirehook::soak

#endif
