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
  /** How long faults come. */
  Millis m_length{ 20'000 };
  /** Only faults of this kind; all when empty. */
  std::string m_only;
  double m_perSecond = 150.0;
};

/** One run: starts a fleet, lets callers use it, disturbs it as a schedule
    says, and gathers what endpoints and callers saw. */
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

  [[nodiscard]] const Evidence& Seen() const noexcept { return m_evidence; }

private:
  /** The longest time a planned stop may take. */
  static constexpr Millis kGrace{ 6000 };

  void Begin();
  void Inject(const Fault& aFault);
  void InjectGateway(const Fault& aFault);
  void InjectEndpoint(const Fault& aFault);
  void InjectStore(const Fault& aFault);
  void InjectLink(const Fault& aFault);
  void KillGateway(std::size_t aIndex);
  void StopGateway(std::size_t aIndex);
  void FreezeGateway(std::size_t aIndex, Millis aFor);
  void KillEndpoint(std::size_t aIndex, const Fault& aFault);
  void SetEndpointFault(std::size_t aIndex, const EndpointFault& aFault);
  void NoteStopEnd(std::size_t aGateway);
  void EndLater(const std::string& aPlace,
                Millis aAfter,
                std::function<void()> aEnd);
  void SetStoreFault(const StoreFault& aFault);
  void ChangeConfig();
  void Watch();
  void Probe();
  void Calm();
  void EndTraffic();
  void Note(const Fault& aFault, Millis aFor);
  [[nodiscard]] std::size_t DrawEndpoint(std::size_t aTarget) const;
  void Break(std::string_view aPromise, std::string aDetail);

  SoakOptions m_options;
  EventLoop m_loop;
  Fleet m_fleet;
  Callers m_callers;
  DelayedCalls m_delayed;
  Timer m_watchTimer;
  Timer m_probeTimer;
  Evidence m_evidence;
  std::vector<Violation> m_violations;
  std::map<std::string_view, unsigned> m_injected;
  /** Counts of faults under way, by what they disturb: the last one to end
      brings the thing back. */
  std::map<std::string, unsigned> m_underWay;
  TimePoint m_startedAt{};
  bool m_begun = false;
  bool m_hasProbe = false;
  bool m_calm = false;
  bool m_ending = false;
};

} // namespace sapphirehook::soak

#endif
