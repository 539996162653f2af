#ifndef SAPPHIREHOOK_ADMISSION_ADMISSION_CONTROL_HPP
#define SAPPHIREHOOK_ADMISSION_ADMISSION_CONTROL_HPP

#include "sapphirehook/admission/capacity_division.hpp"
#include "sapphirehook/admission/fleet_demand.hpp"
#include "sapphirehook/placement/slot_reserve.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirehook {

/** Admits a fixed share of a sequence of requests, evenly distributed: of any n
    requests in a row, n times the share are admitted, give or take one. */
class ShareCredit
{
public:
  /** aStart, from 0 to 1, differs between daemons. Otherwise all of them would
      refuse their first request. */
  explicit ShareCredit(double aStart)
    : m_credit(aStart)
  {
  }

  /** Returns whether the next request is admitted. */
  [[nodiscard]] bool Take(double aShare) noexcept
  {
    m_credit += aShare;
    const bool isAdmitted = m_credit >= 1.0;
    m_credit -= isAdmitted ? 1.0 : 0.0;
    return isAdmitted;
  }

private:
  double m_credit;
};

/** Divides the capacity of each service among its kinds of requests, over all
    daemons. Every daemon computes the same division from the same figures. A
    service whose routes are all equally urgent is not divided. */
class AdmissionControl
{
public:
  /** aSeed differs between daemons. */
  explicit AdmissionControl(std::uint32_t aSeed)
    : m_seed(aSeed)
  {
  }

  /** Sets the kinds of each service. Figures of kinds that remain are kept. */
  void SetRoutes(const RoutingConfig& aConfig);

  /** Returns whether the capacity of a service is divided. */
  [[nodiscard]] bool IsDivided(const std::string& aService) const;

  /** Counts a request that a caller sent. */
  void OnArrival(TimePoint aNow,
                 const std::string& aService,
                 const KindKey& aKind);

  /** Takes the time from a send to the endpoint's answer. */
  void OnAnswer(const std::string& aService,
                const KindKey& aKind,
                std::chrono::nanoseconds aTook);

  void OnQueued(const std::string& aService, const KindKey& aKind);
  void OnDequeued(const std::string& aService, const KindKey& aKind);
  void OnRefused(const std::string& aService,
                 const KindKey& aKind,
                 std::string_view aReason);

  /** Returns whether a service's capacity has to be divided again. */
  [[nodiscard]] bool IsDue(TimePoint aNow, const std::string& aService) const;

  /** Slots of a service's usable endpoints. */
  struct Capacity
  {
    double m_slots = 0.0;
    /** Slots that run a request, of any daemon. */
    double m_busy = 0.0;
  };

  /** Divides a service's capacity. */
  void Divide(TimePoint aNow,
              const std::string& aService,
              const Capacity& aCapacity);

  /** Returns whether the admitted share of a kind includes the next request.
      The share applies to each arrival: a caller that repeats its requests at
      once raises the demand and so lowers the share of its own kind. */
  [[nodiscard]] bool Admits(const std::string& aService, const KindKey& aKind);

  /** Returns the limit of a kind's requests at an endpoint. A kind is limited
      while there is demand for one of higher priority, or with a much shorter
      objective. */
  [[nodiscard]] SlotReserve ReserveFor(const std::string& aService,
                                       const KindKey& aKind) const;

  /** Returns the time over which the callers of refused requests should come
      back. */
  [[nodiscard]] std::chrono::nanoseconds RetrySpread(
    const std::string& aService) const;

  /** Returns the expected work of a request, or aTypical while unknown. */
  [[nodiscard]] std::chrono::nanoseconds WorkOf(
    const std::string& aService,
    const KindKey& aKind,
    std::chrono::nanoseconds aTypical) const;

  /** Returns the number of requests of at least the same priority that wait at
      the other daemons. */
  [[nodiscard]] double WaitingElsewhere(const std::string& aService,
                                        const KindKey& aKind) const;

  /** The figures that explain a refusal. */
  struct Figures
  {
    /** Admitted share of the kind. */
    double m_share = 1.0;
    /** Demand for the service, and its capacity, in slots. */
    double m_demand = 0.0;
    double m_slots = 0.0;
  };
  [[nodiscard]] Figures FiguresOf(const std::string& aService,
                                  const KindKey& aKind) const;

  void SetDaemons(std::size_t aDaemons) noexcept
  {
    m_fleet.SetDaemons(aDaemons);
  }

  /** Returns this daemon's demand. aIsSent tells whether it goes to the other
      daemons. */
  [[nodiscard]] std::vector<KindUse> Report(TimePoint aNow, bool aIsSent);

  /** Takes the figures of a peer, or the totals of a leader. */
  void OnPeerUse(TimePoint aNow,
                 const std::string& aPeer,
                 const std::vector<KindUse>& aUses)
  {
    m_fleet.OnPeer(aNow, aPeer, aUses);
  }
  void OnFleetUse(TimePoint aNow, const std::vector<KindUse>& aTotals)
  {
    m_fleet.OnTotals(aNow, aTotals);
  }

  /** Returns the demand over all daemons, for the leader's report. */
  [[nodiscard]] std::vector<KindUse> FleetUses(TimePoint aNow)
  {
    UpdateOwn(aNow, false);
    return m_fleet.Totals(aNow);
  }

  /** Returns the name of a kind of request in metrics. */
  using NameOfType = std::string_view (*)(RequestKind);

  /** Appends the metrics by service and kind to a Prometheus text. */
  void AppendSamples(std::string& aText, NameOfType aNameOf) const;

private:
  struct Kind
  {
    explicit Kind(std::uint32_t aHash, double aStart)
      : m_hash(aHash)
      , m_credit(aStart)
    {
    }

    std::uint32_t m_hash;
    ShareCredit m_credit;
    RateWindow m_arrivals;
    /** Moving average of the time from a send to the answer; zero while
        unknown. */
    std::chrono::nanoseconds m_answerTime{};
    std::uint32_t m_waiting = 0;
    double m_share = 1.0;
    SlotReserve m_reserve;
    /** Demand over all daemons at the last division, without the queueing. */
    FleetDemand::Total m_total;
    std::map<std::string, std::uint64_t, std::less<>> m_refusals;
  };
  /** Largest part of the slots that is divided: queues grow without bound as
      the load approaches the capacity. */
  static constexpr double kMaxTarget = 0.85;

  struct Service
  {
    std::map<KindKey, Kind> m_kinds;
    bool m_isDivided = false;
    TimePoint m_dividedAt{};
    /** Moving average of the time, in seconds, for which requests queue at
        endpoints. */
    double m_queueing = 0.0;
    /** Part of the slots that is divided. The rest absorbs bursts. */
    double m_target = kMaxTarget;
    double m_demand = 0.0;
    double m_slots = 0.0;
  };

  [[nodiscard]] const Service* Find(const std::string& aService) const;
  [[nodiscard]] const Kind* Find(const std::string& aService,
                                 const KindKey& aKind) const;
  [[nodiscard]] Kind* Find(const std::string& aService, const KindKey& aKind);
  [[nodiscard]] std::vector<KindUse> OwnUses(TimePoint aNow) const;
  void UpdateOwn(TimePoint aNow, bool aIsSent);
  /** Separates the measured times into work and queueing at endpoints. */
  static void SeparateQueueing(Service& aService, const Capacity& aCapacity);
  /** Adapts the part of the slots that is divided to the queueing. */
  static void AdaptTarget(Service& aService);
  static void UpdateReserves(Service& aService,
                             std::chrono::nanoseconds aReportAge);

  std::uint32_t m_seed;
  std::map<std::string, Service> m_services;
  FleetDemand m_fleet;
  TimePoint m_ownUpdatedAt{};
};

} // namespace sapphirehook

#endif
