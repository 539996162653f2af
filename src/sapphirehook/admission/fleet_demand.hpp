#ifndef SAPPHIREHOOK_ADMISSION_FLEET_DEMAND_HPP
#define SAPPHIREHOOK_ADMISSION_FLEET_DEMAND_HPP

#include "sapphirehook/core/message_pack.hpp"
#include "sapphirehook/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sapphirehook {

/** Demand for one kind of requests of one service at one daemon, or in the
    totals of a leader at all daemons. */
struct KindUse
{
  /** Hash of the service and the kind. */
  std::uint32_t m_kind = 0;
  /** Arrivals in ten seconds: slow daemons have less than one in a second. */
  std::uint32_t m_arrivals = 0;
  /** Mean time, in microseconds, from a send to the answer; 0 while unknown. */
  std::uint32_t m_workMicros = 0;
  std::uint32_t m_waiting = 0;

  MSGPACK_DEFINE_ARRAY(m_kind, m_arrivals, m_workMicros, m_waiting)
};

/** Rate of events over a sliding window of about 0.6 s. It is long enough to
    average over a few requests, and short beside the 2 s in which load peaks
    must be answered. */
class RateWindow
{
public:
  /** Counts an event. */
  void Count(TimePoint aNow);

  /** Returns the events in a second. */
  [[nodiscard]] double PerSecond(TimePoint aNow) const;

private:
  static constexpr Millis kBucket{ 100 };
  static constexpr std::size_t kBuckets = 6;

  struct Bucket
  {
    std::int64_t m_number = -1;
    std::uint32_t m_count = 0;
  };
  std::array<Bucket, kBuckets> m_buckets;
  TimePoint m_firstAt{};
  bool m_hasFirst = false;
};

/** Demand of all daemons by kind, from this daemon's figures and the reports of
    the others. */
class FleetDemand
{
public:
  /** Demand for a kind over all daemons. */
  struct Total
  {
    double m_arrivals = 0.0;
    double m_workSeconds = 0.0;
    double m_waiting = 0.0;
  };

  void SetDaemons(std::size_t aDaemons) noexcept
  {
    m_daemons = aDaemons > 0 ? aDaemons : 1;
  }

  /** Records this daemon's figures. aIsSent tells whether the other daemons get
      them. */
  void OnOwn(const std::vector<KindUse>& aUses, bool aIsSent);

  /** Takes a peer's report. */
  void OnPeer(TimePoint aNow,
              const std::string& aPeer,
              const std::vector<KindUse>& aUses);

  /** Takes the totals that the leader of a large fleet reports. */
  void OnTotals(TimePoint aNow, const std::vector<KindUse>& aTotals);

  /** Returns the demand for a kind. Without fresh reports it is this daemon's
      own demand times the number of daemons. */
  [[nodiscard]] Total Of(TimePoint aNow, std::uint32_t aKind) const;

  /** Returns the usual age of the other daemons' figures. */
  [[nodiscard]] Millis ReportAge(TimePoint aNow) const;

  /** Returns the demand for all kinds over all daemons. The leader of a large
      fleet reports it. */
  [[nodiscard]] std::vector<KindUse> Totals(TimePoint aNow) const;

private:
  using Uses = std::map<std::uint32_t, KindUse>;
  struct Report
  {
    Uses m_uses;
    TimePoint m_at{};
  };

  [[nodiscard]] Total Sum(TimePoint aNow, std::uint32_t aKind) const;

  std::size_t m_daemons = 1;
  Uses m_own;
  /** This daemon's figures as last sent to the others. */
  Uses m_ownSent;
  std::map<std::string, Report> m_peers;
  Report m_totals;
};

} // namespace sapphirehook

#endif
