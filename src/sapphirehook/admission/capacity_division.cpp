#include "sapphirehook/admission/capacity_division.hpp"

#include <algorithm>
#include <map>
#include <numeric>

namespace sapphirehook {

namespace {

/** Demand of all kinds of equal urgency, and its admitted share. */
struct UrgencyClass
{
  double m_slots = 0.0;
  double m_arrivals = 0.0;
  double m_share = 0.0;
};
using Classes = std::map<Urgency, UrgencyClass>;

/** Sets the shares for a given floor: aFloor for each class, and the rest of
    the slots in the order of urgency. */
void
FillFromFloor(Classes& aClasses, double aFloor, double aDemand, double aSlots)
{
  double left = std::max(aSlots - aFloor * aDemand, 0.0);
  for (auto& [urgency, one] : aClasses) {
    const double wanted = (1.0 - aFloor) * one.m_slots;
    const double given = std::min(wanted, left);
    one.m_share = wanted > 0.0 ? aFloor + (1.0 - aFloor) * given / wanted : 1.0;
    left -= given;
  }
}

/** Returns the share of all arrivals that the classes' shares admit. */
double
OverallShare(const Classes& aClasses)
{
  double arrivals = 0.0;
  double admitted = 0.0;
  for (const auto& [urgency, one] : aClasses) {
    arrivals += one.m_arrivals;
    admitted += one.m_share * one.m_arrivals;
  }
  return arrivals > 0.0 ? admitted / arrivals : 1.0;
}

} // namespace

std::vector<double>
DivideCapacity(const std::vector<KindDemand>& aKinds, double aSlots)
{
  Classes classes;
  double demand = 0.0;
  for (const auto& kind : aKinds) {
    auto& one = classes[kind.m_urgency];
    one.m_slots += kind.Slots();
    one.m_arrivals += kind.m_arrivals;
    demand += kind.Slots();
  }
  const double slots = std::max(aSlots, 0.0);
  if (demand <= slots) {
    return std::vector<double>(aKinds.size(), 1.0);
  }
  // A class without known work takes no slots. It must not fare worse than a
  // less urgent one, and must not raise the share of a more urgent one.
  double low = 0.0;
  double high = slots / demand; // equal shares meet the condition
  constexpr int kBisections = 40;
  for (int i = 0; i < kBisections; ++i) {
    const double middle = (low + high) / 2.0;
    FillFromFloor(classes, middle, demand, slots);
    const bool isEnough = middle >= kFloorRatio * OverallShare(classes);
    (isEnough ? high : low) = middle;
  }
  FillFromFloor(classes, high, demand, slots);
  double moreUrgent = 1.0;
  for (auto& [urgency, one] : classes) {
    one.m_share = std::min(one.m_share, moreUrgent);
    moreUrgent = one.m_share;
  }
  std::vector<double> shares;
  shares.reserve(aKinds.size());
  for (const auto& kind : aKinds) {
    shares.push_back(classes[kind.m_urgency].m_share);
  }
  return shares;
}

} // namespace sapphirehook
