#ifndef SAPPHIREHOOK_SOAK_SOAK_HPP
#define SAPPHIREHOOK_SOAK_SOAK_HPP

#include "soak/fleet.hpp"
#include "soak/schedule.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sapphirehook::soak {

struct SoakOptions
{
  FleetOptions m_fleet;
  /** Time during which faults are injected. */
  Millis m_faultPeriod{ 20'000 };
  /** Name of the only fault kind to inject; all kinds if empty. */
  std::string m_onlyKind;
  bool m_restoresStore = false;
  double m_requestRate = 150.0;
};

/** One soak run: starts a fleet, sends requests to it, injects the faults of a
    schedule and collects the records of endpoints and callers. */
class Soak
{
public:
  Soak(const GatewayProtocol& aProtocol, SoakOptions aOptions);

  /** Returns the promises that were broken. */
  [[nodiscard]] std::vector<Violation> Run();

  /** Returns how many faults of each kind were injected. */
  [[nodiscard]] const std::map<std::string_view, unsigned>& Injected()
    const noexcept
  {
    return m_injected;
  }

  [[nodiscard]] const RunObservations& Observations() const noexcept
  {
    return m_observations;
  }

private:
  /** Maximum duration of a planned stop. */
  static constexpr Millis kStopGrace{ 6000 };

  void StartTraffic();
  void Inject(const Fault& aFault);
  void InjectGateway(const Fault& aFault);
  void InjectEndpoint(const Fault& aFault);
  void InjectStore(const Fault& aFault);
  void RestoreStore(const Fault& aFault);
  void InjectLink(const Fault& aFault);
  void KillGateway(std::size_t aIndex);
  void StopGateway(std::size_t aIndex);
  void FreezeGateway(std::size_t aIndex, Millis aDuration);
  void KillEndpoint(std::size_t aIndex, const Fault& aFault);
  void SetEndpointFault(std::size_t aIndex, const EndpointFault& aFault);
  void RecordStopEnd(std::size_t aGateway);
  void ScheduleFaultEnd(const std::string& aFaultTarget,
                        Millis aAfter,
                        std::function<void()> aEnd);
  void SetStoreFault(const StoreFault& aFault);
  void ChangeConfig();
  void Poll();
  void Probe();
  void EndFaults();
  void EndTraffic();
  void RecordFault(const Fault& aFault, Millis aDuration);
  [[nodiscard]] std::size_t PickEndpoint(std::size_t aTarget) const;
  void AddViolation(std::string_view aPromise, std::string aDetail);

  SoakOptions m_options;
  EventLoop m_loop;
  Fleet m_fleet;
  Callers m_callers;
  DelayedCalls m_delayed;
  Timer m_pollTimer;
  Timer m_probeTimer;
  RunObservations m_observations;
  std::vector<Violation> m_violations;
  std::map<std::string_view, unsigned> m_injected;
  /** Number of active faults by target. The target recovers when its last fault
      ends. */
  std::map<std::string, unsigned> m_activeFaults;
  TimePoint m_startedAt{};
  bool m_trafficStarted = false;
  bool m_hasProbe = false;
  bool m_faultsEnded = false;
  bool m_stoppingAll = false;
};

} // namespace sapphirehook::soak

#endif
