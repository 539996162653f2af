#ifndef SAPPHIREHOOK_ADMISSION_CAPACITY_DIVISION_HPP
#define SAPPHIREHOOK_ADMISSION_CAPACITY_DIVISION_HPP

#include "sapphirehook/routing/request_class.hpp"

#include <vector>

namespace sapphirehook {

/** The floor of each kind's share, relative to the share of all requests of the
    service. */
inline constexpr double kFloorRatio = 0.25;

/** Demand for one kind of requests. */
struct KindDemand
{
  Urgency m_urgency;
  /** Arrivals in a second. */
  double m_arrivals = 0.0;
  /** Mean time, in seconds, for which a request occupies a slot. */
  double m_workSeconds = 0.0;

  /** Returns the number of slots that the arrivals occupy. */
  [[nodiscard]] double Slots() const noexcept
  {
    return m_arrivals * m_workSeconds;
  }
};

/** Returns the share of each kind's arrivals to admit, in the order of aKinds.
    Everything is admitted while it fits into aSlots.
    Otherwise each kind gets a floor, and the remaining slots go to the kinds in
    the order of urgency. Kinds of equal urgency get equal shares, and a more
    urgent kind never gets less than a less urgent one. The result is a
    continuous function of demand and capacity: small errors of the figures
    have small effects, and daemons with slightly different figures agree. */
[[nodiscard]] std::vector<double>
DivideCapacity(const std::vector<KindDemand>& aKinds, double aSlots);

} // namespace sapphirehook

#endif
