#include "soak/checker.hpp"

#include "sapphirehook/core/text.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace sapphirehook::soak {

namespace {

/** Grants that begin within this time after a frozen gateway resumes are not
    checked. Endpoints reject outdated commands by their fence. */
constexpr Millis kResumeGrace{ 300 };
/** Two endpoints may both hold a key for this long if they do not both start
    requests for the key. */
constexpr Millis kOverlap{ 500 };
/** A draining endpoint receives no new requests after this time. */
constexpr Millis kDrain{ 2000 };
/** Time limits are checked only if no fault was active for this long before. */
constexpr Millis kSettleTime{ 3000 };
/** Time within which a configuration change takes effect at all gateways. */
constexpr Millis kConfigLimit{ 2000 };
/** A request that is sent while the gateway closes its connection may fail
    within this time and does not count as lost. */
constexpr Millis kCloseRace{ 200 };
/** Minimum share of requests answered after the faults, and the time that the
    fleet has to recover before the share is measured. */
constexpr double kMinAnsweredShare = 0.9;
constexpr Millis kRecoveryLimit{ 6000 };

constexpr int kOk = 200;
constexpr int kNotFound = 404;

/** A period in which an endpoint held a range under one fence. */
struct LeasePeriod
{
  std::size_t m_run = 0;
  KeyRange m_range;
  Fence m_fence = 0;
  TimePoint m_from{};
  TimePoint m_to{};
};

bool
Overlaps(const KeyRange& aLeft, const KeyRange& aRight)
{
  return aLeft.m_first <= aRight.m_last && aRight.m_first <= aLeft.m_last;
}

/** Ends the lease periods of a run on a range at a time. Parts of the periods
    outside the range continue. */
void
EndLeasePeriods(std::vector<LeasePeriod>& aPeriods,
                std::size_t aRun,
                KeyRange aRange,
                TimePoint aAt)
{
  std::vector<LeasePeriod> rest;
  for (auto& period : aPeriods) {
    if (period.m_run != aRun || period.m_to <= aAt ||
        !Overlaps(period.m_range, aRange)) {
      continue;
    }
    if (period.m_range.m_first < aRange.m_first) {
      LeasePeriod left = period;
      left.m_range.m_last = static_cast<Key>(aRange.m_first - 1);
      rest.push_back(left);
      period.m_range.m_first = aRange.m_first;
    }
    if (period.m_range.m_last > aRange.m_last) {
      LeasePeriod right = period;
      right.m_range.m_first = static_cast<Key>(aRange.m_last + 1);
      rest.push_back(right);
      period.m_range.m_last = aRange.m_last;
    }
    period.m_to = aAt;
  }
  aPeriods.insert(aPeriods.end(), rest.begin(), rest.end());
}

std::vector<LeasePeriod>
LeasePeriods(const RunObservations& aObservations)
{
  std::vector<LeasePeriod> all;
  for (std::size_t run = 0; run < aObservations.m_endpoints.size(); ++run) {
    const auto& endpoint = aObservations.m_endpoints[run];
    std::vector<LeasePeriod> periods;
    for (const auto& event : endpoint.m_events) {
      if (event.m_kind == HistoryEventKind::Released) {
        EndLeasePeriods(periods, run, event.m_range, event.m_at);
      } else if (event.m_kind == HistoryEventKind::GrantAccepted) {
        const auto renewed = std::find_if(
          periods.begin(), periods.end(), [&](const LeasePeriod& aPeriod) {
            return aPeriod.m_range == event.m_range &&
                   aPeriod.m_fence == event.m_fence &&
                   event.m_at < aPeriod.m_to;
          });
        if (renewed != periods.end()) {
          renewed->m_to = event.m_until;
          continue;
        }
        EndLeasePeriods(periods, run, event.m_range, event.m_at);
        periods.push_back(
          { run, event.m_range, event.m_fence, event.m_at, event.m_until });
      }
    }
    for (auto& period : periods) {
      period.m_to = std::min(period.m_to, endpoint.m_endedAt);
      if (period.m_from < period.m_to) {
        all.push_back(period);
      }
    }
  }
  return all;
}

bool
HasStartedWithin(const EndpointRun& aRun,
                 KeyRange aKeys,
                 TimePoint aFrom,
                 TimePoint aTo)
{
  return std::any_of(aRun.m_events.begin(),
                     aRun.m_events.end(),
                     [&](const HistoryEvent& aEvent) {
                       return aEvent.m_kind ==
                                HistoryEventKind::RequestStarted &&
                              aFrom <= aEvent.m_at && aEvent.m_at <= aTo &&
                              Overlaps(aKeys, aEvent.m_range);
                     });
}

std::string
RangeText(const KeyRange& aRange)
{
  return Concat(unsigned{ aRange.m_first }, "-", unsigned{ aRange.m_last });
}

class PromiseChecker
{
public:
  explicit PromiseChecker(const RunObservations& aObservations)
    : m_observations(aObservations)
  {
    for (const auto& run : aObservations.m_endpoints) {
      for (const auto& event : run.m_events) {
        if (event.m_kind == HistoryEventKind::RequestStarted) {
          m_runs[event.m_id].push_back(&run);
        }
      }
    }
  }

  std::vector<Violation> CheckAll()
  {
    CheckOwners();
    CheckRequests();
    CheckLeaving();
    CheckStops();
    CheckConfigs();
    CheckRecovery();
    return std::move(m_violations);
  }

private:
  template<typename... Parts>
  void AddViolation(std::string_view aPromise, const Parts&... aParts)
  {
    m_violations.push_back({ aPromise, Concat(aParts...) });
  }

  [[nodiscard]] Millis::rep MsSinceFaultsEnded(TimePoint aTime) const
  {
    return std::chrono::duration_cast<Millis>(aTime -
                                              m_observations.m_faultsEndedAt)
      .count();
  }

  [[nodiscard]] bool IsAfterResume(TimePoint aTime) const
  {
    return std::any_of(m_observations.m_resumeTimes.begin(),
                       m_observations.m_resumeTimes.end(),
                       [&](TimePoint aResumedAt) {
                         return aResumedAt <= aTime &&
                                aTime <= aResumedAt + kResumeGrace;
                       });
  }

  /** Whether no unplanned fault was active between two times and in the settle
      time before them. */
  [[nodiscard]] bool IsUndisturbed(TimePoint aFrom, TimePoint aTo) const
  {
    return std::none_of(m_observations.m_faultIntervals.begin(),
                        m_observations.m_faultIntervals.end(),
                        [&](const FaultInterval& aOne) {
                          return !aOne.m_planned && aOne.m_from <= aTo &&
                                 aFrom - kSettleTime <= aOne.m_to;
                        });
  }

  void CheckOwners()
  {
    const auto periods = LeasePeriods(m_observations);
    for (std::size_t i = 0; i < periods.size(); ++i) {
      for (std::size_t j = i + 1; j < periods.size(); ++j) {
        CheckPair(periods[i], periods[j]);
      }
    }
  }

  void CheckPair(const LeasePeriod& aLeft, const LeasePeriod& aRight)
  {
    if (aLeft.m_run == aRight.m_run ||
        !Overlaps(aLeft.m_range, aRight.m_range) ||
        ServiceOf(aLeft) != ServiceOf(aRight)) {
      return;
    }
    const KeyRange keys{
      std::max(aLeft.m_range.m_first, aRight.m_range.m_first),
      std::min(aLeft.m_range.m_last, aRight.m_range.m_last)
    };
    const auto& later = aLeft.m_from < aRight.m_from ? aRight : aLeft;
    const auto& earlier = aLeft.m_from < aRight.m_from ? aLeft : aRight;
    if (IsAfterResume(later.m_from)) {
      return;
    }
    if (later.m_fence <= earlier.m_fence) {
      AddViolation("fences grow",
                   NameOf(later),
                   " took ",
                   RangeText(keys),
                   " with ",
                   later.m_fence,
                   " after ",
                   NameOf(earlier),
                   " had ",
                   earlier.m_fence);
    }
    const TimePoint from = later.m_from;
    const TimePoint to = std::min(aLeft.m_to, aRight.m_to);
    if (from >= to) {
      return;
    }
    const auto& runs = m_observations.m_endpoints;
    const bool bothStarted =
      HasStartedWithin(runs[aLeft.m_run], keys, from, to) &&
      HasStartedWithin(runs[aRight.m_run], keys, from, to);
    if (bothStarted || to - from > kOverlap) {
      AddViolation("one owner",
                   NameOf(aLeft),
                   " and ",
                   NameOf(aRight),
                   " both held ",
                   RangeText(keys),
                   " for ",
                   std::chrono::duration_cast<Millis>(to - from).count(),
                   " ms from ",
                   MsSinceFaultsEnded(from),
                   " ms");
    }
  }

  [[nodiscard]] const std::string& NameOf(const LeasePeriod& aPeriod) const
  {
    return m_observations.m_endpoints[aPeriod.m_run].m_name;
  }

  [[nodiscard]] const std::string& ServiceOf(const LeasePeriod& aPeriod) const
  {
    return m_observations.m_endpoints[aPeriod.m_run].m_service;
  }

  void CheckRequests()
  {
    for (const auto& request : m_observations.m_requests) {
      const auto found = m_runs.find(request.m_id);
      const std::size_t runs = found == m_runs.end() ? 0 : found->second.size();
      const bool atMostOnce = request.m_type == RequestType::Pay ||
                              request.m_type == RequestType::File;
      if (request.m_wrongAnswer) {
        AddViolation("a whole answer of its own", request.m_id, " got another");
      }
      if (atMostOnce && runs > 1) {
        AddViolation("at most once", request.m_id, " ran ", runs, " times");
      }
      if (atMostOnce && runs > 0 && request.m_end == RequestOutcome::NotRead) {
        AddViolation("behind a closing answer nothing runs",
                     request.m_id,
                     " was sent behind a closing answer and ran");
      }
      const std::set<int> notRun{ 408, 421, 429, 503 };
      if (atMostOnce && runs > 0 && request.m_end == RequestOutcome::Answered &&
          notRun.contains(request.m_status)) {
        AddViolation("a refusal is true",
                     request.m_id,
                     " got ",
                     request.m_status,
                     " and ran");
      }
      for (std::size_t i = 0; i < runs; ++i) {
        const auto& service = found->second[i]->m_service;
        const bool keyed = request.m_type == RequestType::Look;
        if (service != (keyed ? "keyed" : "plain")) {
          AddViolation("routes hold", request.m_id, " ran at ", service);
        }
      }
    }
  }

  void CheckLeaving()
  {
    for (const auto& run : m_observations.m_endpoints) {
      TimePoint left = TimePoint::max();
      for (const auto& event : run.m_events) {
        if (event.m_kind == HistoryEventKind::DrainAccepted) {
          left = event.m_at;
        }
        if (event.m_kind == HistoryEventKind::RequestStarted &&
            left != TimePoint::max() && event.m_at > left + kDrain &&
            IsUndisturbed(left, event.m_at)) {
          AddViolation(
            "leaving endpoints get no work",
            event.m_id,
            " began at ",
            run.m_name,
            " ",
            std::chrono::duration_cast<Millis>(event.m_at - left).count(),
            " ms after it left");
        }
      }
    }
  }

  void CheckStops()
  {
    for (const auto& stop : m_observations.m_stops) {
      for (const auto& request : m_observations.m_requests) {
        const bool isAtGateway = request.m_gateway == stop.m_gateway &&
                                 request.m_sentAt <= stop.m_endedAt &&
                                 request.m_endedAt >= stop.m_at;
        const bool cut = request.m_end == RequestOutcome::AnswerTruncated ||
                         request.m_end == RequestOutcome::NoAnswer;
        if (!isAtGateway || !cut || !request.m_fullySent ||
            !IsUndisturbed(request.m_sentAt, request.m_endedAt)) {
          continue;
        }
        const bool ran = m_runs.contains(request.m_id);
        if (!ran && request.m_isBehind) {
          continue; // it was not read, and the caller may send it again
        }
        if (ran || request.m_endedAt - request.m_sentAt > kCloseRace) {
          AddViolation("a planned stop cuts off nothing",
                       request.m_id,
                       " was cut at gateway ",
                       request.m_gateway,
                       ran ? " while it ran" : "");
        }
      }
    }
  }

  /** Checks the answers to probe requests against the last configuration that
      the store accepted. A request is skipped if the previous configuration may
      still have been in force, or if a fault was active. */
  void CheckConfigs()
  {
    for (const auto& request : m_observations.m_requests) {
      if (request.m_type != RequestType::Probe ||
          request.m_end != RequestOutcome::Answered) {
        continue;
      }
      const ConfigChange* last = nullptr;
      bool settled = true;
      for (const auto& config : m_observations.m_configs) {
        if (config.m_acceptedAt <= request.m_endedAt) {
          last = &config;
          settled = config.m_acceptedAt + kConfigLimit < request.m_sentAt;
        }
      }
      if (last == nullptr || !settled ||
          !IsUndisturbed(last->m_acceptedAt, request.m_endedAt)) {
        continue;
      }
      if (last->m_hasProbe ? request.m_status == kNotFound
                           : request.m_status == kOk) {
        AddViolation("changes are in force",
                     request.m_id,
                     " got ",
                     request.m_status,
                     " at gateway ",
                     request.m_gateway);
      }
    }
  }

  void CheckRecovery()
  {
    std::size_t sent = 0;
    std::size_t answered = 0;
    for (const auto& request : m_observations.m_requests) {
      if (request.m_type != RequestType::Probe &&
          request.m_sentAt > m_observations.m_faultsEndedAt + kRecoveryLimit &&
          request.m_endedAt < m_observations.m_endedAt) {
        ++sent;
        answered += request.m_status == kOk ? 1 : 0;
      }
    }
    if (sent == 0 || static_cast<double>(answered) <
                       kMinAnsweredShare * static_cast<double>(sent)) {
      AddViolation("service comes back", answered, " of ", sent, " answered");
    }
  }

  const RunObservations& m_observations;
  /** The endpoint runs in which each request started, by request id. */
  std::map<std::string, std::vector<const EndpointRun*>> m_runs;
  std::vector<Violation> m_violations;
};

} // namespace

std::vector<Violation>
CheckPromises(const RunObservations& aObservations)
{
  return PromiseChecker(aObservations).CheckAll();
}

} // namespace sapphirehook::soak
