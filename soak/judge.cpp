#include "soak/judge.hpp"

#include "sapphirehook/core/text.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace sapphirehook::soak {

namespace {

/** Orders of a gateway that went on after a freeze are excused for this long;
    the endpoints refuse what is old by its fence. */
constexpr Millis kThaw{ 300 };
/** Two endpoints may hold a key for this long, without requests for it. */
constexpr Millis kOverlap{ 500 };
/** A leaving endpoint gets no new work after this. */
constexpr Millis kDrain{ 2000 };
/** Bounds of time hold where nothing was disturbed for this long. */
constexpr Millis kCalm{ 3000 };
/** A change is in force everywhere after this. */
constexpr Millis kApply{ 2000 };
/** A request that crosses the close of its connection is not lost. */
constexpr Millis kCrossing{ 200 };
/** Part of the requests of the last calm seconds that must be answered. */
constexpr double kRecovered = 0.9;
constexpr Millis kRecoverIn{ 6000 };

constexpr int kOk = 200;
constexpr int kNotFound = 404;

/** A time in which an endpoint held a range under one fence. */
struct Hold
{
  std::size_t m_run = 0;
  KeyRange m_range;
  Fence m_fence = 0;
  TimePoint m_from{};
  TimePoint m_to{};
};

bool
Meet(const KeyRange& aLeft, const KeyRange& aRight)
{
  return aLeft.m_first <= aRight.m_last && aRight.m_first <= aLeft.m_last;
}

/** Cuts the holds of a run on a range off at a time. */
void
EndHolds(std::vector<Hold>& aHolds,
         std::size_t aRun,
         KeyRange aRange,
         TimePoint aAt)
{
  std::vector<Hold> rest;
  for (auto& hold : aHolds) {
    if (hold.m_run != aRun || hold.m_to <= aAt || !Meet(hold.m_range, aRange)) {
      continue;
    }
    if (hold.m_range.m_first < aRange.m_first) {
      Hold left = hold;
      left.m_range.m_last = static_cast<Key>(aRange.m_first - 1);
      rest.push_back(left);
      hold.m_range.m_first = aRange.m_first;
    }
    if (hold.m_range.m_last > aRange.m_last) {
      Hold right = hold;
      right.m_range.m_first = static_cast<Key>(aRange.m_last + 1);
      rest.push_back(right);
      hold.m_range.m_last = aRange.m_last;
    }
    hold.m_to = aAt;
  }
  aHolds.insert(aHolds.end(), rest.begin(), rest.end());
}

std::vector<Hold>
HoldsOf(const Evidence& aEvidence)
{
  std::vector<Hold> all;
  for (std::size_t run = 0; run < aEvidence.m_endpoints.size(); ++run) {
    const auto& endpoint = aEvidence.m_endpoints[run];
    std::vector<Hold> holds;
    for (const auto& entry : endpoint.m_entries) {
      if (entry.m_kind == EntryKind::Released) {
        EndHolds(holds, run, entry.m_range, entry.m_at);
      } else if (entry.m_kind == EntryKind::Held) {
        const auto renewed =
          std::find_if(holds.begin(), holds.end(), [&](const Hold& aHold) {
            return aHold.m_range == entry.m_range &&
                   aHold.m_fence == entry.m_fence && entry.m_at < aHold.m_to;
          });
        if (renewed != holds.end()) {
          renewed->m_to = entry.m_until;
          continue;
        }
        EndHolds(holds, run, entry.m_range, entry.m_at);
        holds.push_back(
          { run, entry.m_range, entry.m_fence, entry.m_at, entry.m_until });
      }
    }
    for (auto& hold : holds) {
      hold.m_to = std::min(hold.m_to, endpoint.m_endedAt);
      if (hold.m_from < hold.m_to) {
        all.push_back(hold);
      }
    }
  }
  return all;
}

bool
BeganWithin(const EndpointRun& aRun,
            KeyRange aKeys,
            TimePoint aFrom,
            TimePoint aTo)
{
  return std::any_of(
    aRun.m_entries.begin(), aRun.m_entries.end(), [&](const Entry& aEntry) {
      return aEntry.m_kind == EntryKind::Began && aFrom <= aEntry.m_at &&
             aEntry.m_at <= aTo && Meet(aKeys, aEntry.m_range);
    });
}

std::string
RangeText(const KeyRange& aRange)
{
  return Concat(unsigned{ aRange.m_first }, "-", unsigned{ aRange.m_last });
}

class Checks
{
public:
  explicit Checks(const Evidence& aEvidence)
    : m_evidence(aEvidence)
  {
    for (const auto& run : aEvidence.m_endpoints) {
      for (const auto& entry : run.m_entries) {
        if (entry.m_kind == EntryKind::Began) {
          m_runs[entry.m_id].push_back(&run);
        }
      }
    }
  }

  std::vector<Violation> All()
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
  void Break(std::string_view aPromise, const Parts&... aParts)
  {
    m_violations.push_back({ aPromise, Concat(aParts...) });
  }

  [[nodiscard]] Millis::rep Since(TimePoint aMoment) const
  {
    return std::chrono::duration_cast<Millis>(aMoment - m_evidence.m_calmFrom)
      .count();
  }

  [[nodiscard]] bool IsThaw(TimePoint aMoment) const
  {
    return std::any_of(m_evidence.m_thaws.begin(),
                       m_evidence.m_thaws.end(),
                       [&](TimePoint aThaw) {
                         return aThaw <= aMoment && aMoment <= aThaw + kThaw;
                       });
  }

  /** Whether nothing unplanned was disturbed from a calm time before until a
      moment. */
  [[nodiscard]] bool IsCalm(TimePoint aFrom, TimePoint aTo) const
  {
    return std::none_of(m_evidence.m_disturbances.begin(),
                        m_evidence.m_disturbances.end(),
                        [&](const Disturbance& aOne) {
                          return !aOne.m_planned && aOne.m_from <= aTo &&
                                 aFrom - kCalm <= aOne.m_to;
                        });
  }

  void CheckOwners()
  {
    const auto holds = HoldsOf(m_evidence);
    for (std::size_t i = 0; i < holds.size(); ++i) {
      for (std::size_t j = i + 1; j < holds.size(); ++j) {
        CheckPair(holds[i], holds[j]);
      }
    }
  }

  void CheckPair(const Hold& aLeft, const Hold& aRight)
  {
    if (aLeft.m_run == aRight.m_run || !Meet(aLeft.m_range, aRight.m_range) ||
        ServiceOf(aLeft) != ServiceOf(aRight)) {
      return;
    }
    const KeyRange keys{
      std::max(aLeft.m_range.m_first, aRight.m_range.m_first),
      std::min(aLeft.m_range.m_last, aRight.m_range.m_last)
    };
    const auto& later = aLeft.m_from < aRight.m_from ? aRight : aLeft;
    const auto& earlier = aLeft.m_from < aRight.m_from ? aLeft : aRight;
    if (IsThaw(later.m_from)) {
      return;
    }
    if (later.m_fence <= earlier.m_fence) {
      Break("fences grow",
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
    const auto& runs = m_evidence.m_endpoints;
    const bool bothBegan = BeganWithin(runs[aLeft.m_run], keys, from, to) &&
                           BeganWithin(runs[aRight.m_run], keys, from, to);
    if (bothBegan || to - from > kOverlap) {
      Break("one owner",
            NameOf(aLeft),
            " and ",
            NameOf(aRight),
            " both held ",
            RangeText(keys),
            " for ",
            std::chrono::duration_cast<Millis>(to - from).count(),
            " ms from ",
            Since(from),
            " ms");
    }
  }

  [[nodiscard]] const std::string& NameOf(const Hold& aHold) const
  {
    return m_evidence.m_endpoints[aHold.m_run].m_name;
  }

  [[nodiscard]] const std::string& ServiceOf(const Hold& aHold) const
  {
    return m_evidence.m_endpoints[aHold.m_run].m_service;
  }

  void CheckRequests()
  {
    for (const auto& request : m_evidence.m_requests) {
      const auto found = m_runs.find(request.m_id);
      const std::size_t runs = found == m_runs.end() ? 0 : found->second.size();
      const bool once = request.m_ask == Ask::Pay || request.m_ask == Ask::File;
      if (request.m_mixed) {
        Break("a whole answer of its own", request.m_id, " got another");
      }
      if (once && runs > 1) {
        Break("at most once", request.m_id, " ran ", runs, " times");
      }
      const std::set<int> notRun{ 408, 421, 429, 503 };
      if (once && runs > 0 && request.m_end == CallerEnd::Answered &&
          notRun.contains(request.m_status)) {
        Break("a refusal is true",
              request.m_id,
              " got ",
              request.m_status,
              " and ran");
      }
      for (std::size_t i = 0; i < runs; ++i) {
        const auto& service = found->second[i]->m_service;
        const bool keyed = request.m_ask == Ask::Look;
        if (service != (keyed ? "keyed" : "plain")) {
          Break("routes hold", request.m_id, " ran at ", service);
        }
      }
    }
  }

  void CheckLeaving()
  {
    for (const auto& run : m_evidence.m_endpoints) {
      TimePoint left = TimePoint::max();
      for (const auto& entry : run.m_entries) {
        if (entry.m_kind == EntryKind::Leaving) {
          left = entry.m_at;
        }
        if (entry.m_kind == EntryKind::Began && left != TimePoint::max() &&
            entry.m_at > left + kDrain && IsCalm(left, entry.m_at)) {
          Break("leaving endpoints get no work",
                entry.m_id,
                " began at ",
                run.m_name,
                " ",
                std::chrono::duration_cast<Millis>(entry.m_at - left).count(),
                " ms after it left");
        }
      }
    }
  }

  void CheckStops()
  {
    for (const auto& stop : m_evidence.m_stops) {
      for (const auto& request : m_evidence.m_requests) {
        const bool there = request.m_gateway == stop.m_gateway &&
                           request.m_sentAt <= stop.m_endedAt &&
                           request.m_endedAt >= stop.m_at;
        const bool cut = request.m_end == CallerEnd::CutInAnswer ||
                         request.m_end == CallerEnd::NoAnswer;
        if (!there || !cut || !request.m_sentWhole ||
            !IsCalm(request.m_sentAt, request.m_endedAt)) {
          continue;
        }
        const bool ran = m_runs.contains(request.m_id);
        if (ran || request.m_endedAt - request.m_sentAt > kCrossing) {
          Break("a planned stop cuts off nothing",
                request.m_id,
                " was cut at gateway ",
                request.m_gateway,
                ran ? " while it ran" : "");
        }
      }
    }
  }

  /** The configuration in force when a request was sent, and whether it may
      still be the one before. */
  void CheckConfigs()
  {
    for (const auto& request : m_evidence.m_requests) {
      if (request.m_ask != Ask::Probe || request.m_end != CallerEnd::Answered) {
        continue;
      }
      const ConfigChange* last = nullptr;
      bool settled = true;
      for (const auto& config : m_evidence.m_configs) {
        if (config.m_acceptedAt <= request.m_endedAt) {
          last = &config;
          settled = config.m_acceptedAt + kApply < request.m_sentAt;
        }
      }
      if (last == nullptr || !settled ||
          !IsCalm(last->m_acceptedAt, request.m_endedAt)) {
        continue;
      }
      if (last->m_hasProbe ? request.m_status == kNotFound
                           : request.m_status == kOk) {
        Break("changes are in force",
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
    std::size_t asked = 0;
    std::size_t answered = 0;
    for (const auto& request : m_evidence.m_requests) {
      if (request.m_ask != Ask::Probe &&
          request.m_sentAt > m_evidence.m_calmFrom + kRecoverIn &&
          request.m_endedAt < m_evidence.m_endedAt) {
        ++asked;
        answered += request.m_status == kOk ? 1 : 0;
      }
    }
    if (asked == 0 || static_cast<double>(answered) <
                        kRecovered * static_cast<double>(asked)) {
      Break("service comes back", answered, " of ", asked, " answered");
    }
  }

  const Evidence& m_evidence;
  /** Runs of endpoints at which each request began. */
  std::map<std::string, std::vector<const EndpointRun*>> m_runs;
  std::vector<Violation> m_violations;
};

} // namespace

std::vector<Violation>
Judge(const Evidence& aEvidence)
{
  return Checks(aEvidence).All();
}

} // namespace sapphirehook::soak
