#include "sapphirehook/placement/endpoint_load.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sapphirehook {

namespace {

/** Number of requests that an endpoint may have in addition to its slots. */
constexpr std::size_t kExtraRequests = 2;
/** Time for which a peer's report is valid. Peers report several times a
    second. */
constexpr Millis kPeerReportLifetime{ 700 };
/** First and longest ejection of a failed endpoint. */
constexpr Millis kFirstEjection{ 200 };
constexpr Millis kMaxEjection{ 3200 };
/** Time for which an endpoint that reported to be full gets no requests. */
constexpr Millis kFullBackoff{ 60 };
/** Time for which an endpoint that did not answer a request gets none. Its
    queue is full, and peers learn of that within this time. */
constexpr Millis kUnresponsiveBackoff{ 300 };
/** Time for which the load that an endpoint states is newer than the reports of
    peers. */
constexpr Millis kReportedLifetime{ 300 };
/** Age of a peer's report at most when it is used. */
constexpr Millis kMaxReportAge{ 450 };
/** Time for which an endpoint's pace is valid, and its bounds, which limit the
    effect of a wrong figure. */
constexpr Millis kPaceLifetime{ 300 };
constexpr double kMinPace = 0.1;
constexpr double kMaxPace = 10.0;
constexpr double kPercent = 100.0;
/** A request is overdue after this multiple of the mean service time. In the
    users' workload, 3 of 100 requests take seven times as long as the
    others. */
constexpr double kOverdueAfter = 3.0;
/** Minimum number of overdue requests, and their minimum share of the running
    requests, that indicate a slow endpoint. At a healthy endpoint one request
    in ten is overdue at any time. */
constexpr std::size_t kMinOverdue = 2;
constexpr double kMinOverdueShare = 0.6;
/** Number of answers from which on this daemon's mean is used instead of the
    fleet's. */
constexpr std::size_t kManySamples = 40;
/** Weights of the newest observation in the exponential moving averages. */
constexpr double kServiceWeight = 0.01;
constexpr double kFailureWeight = 0.1;

std::chrono::nanoseconds
Scaled(std::chrono::nanoseconds aSpan, double aFactor)
{
  return std::chrono::nanoseconds(static_cast<std::chrono::nanoseconds::rep>(
    static_cast<double>(aSpan.count()) * aFactor));
}

} // namespace

double
EndpointLoad::Slowdown(double aRunning) const noexcept
{
  const auto slots = static_cast<double>(m_slots);
  return 1.0 + std::max(aRunning - slots + 1.0, 0.0) / slots;
}

double
EndpointLoad::OnSent(TimePoint aNow, double aWork)
{
  const double slowdown = Slowdown(static_cast<double>(Running(aNow)));
  m_sent.push_back({ aNow, aWork });
  NoteLoad(aNow);
  return slowdown;
}

void
EndpointLoad::NoteLoad(TimePoint aNow)
{
  if (!HasFreeSlot(aNow)) {
    m_occupiedAt = aNow;
  }
}

bool
EndpointLoad::MayHaveBeenFull(TimePoint aSince) const noexcept
{
  return m_occupiedAt != TimePoint{} && aSince < m_occupiedAt + kMaxReportAge;
}

void
EndpointLoad::OnReported(TimePoint aNow,
                         std::size_t aRequests,
                         std::optional<std::size_t> aPace)
{
  const std::size_t own = OwnRunning() - (OwnRunning() > 0 ? 1 : 0);
  m_reportedOthers = aRequests > own ? aRequests - own : 0;
  m_reportedAt = aNow;
  if (aPace) {
    m_pace =
      std::clamp(static_cast<double>(*aPace) / kPercent, kMinPace, kMaxPace);
    m_pacedAt = aNow;
  }
  NoteLoad(aNow);
}

std::size_t
EndpointLoad::Running(TimePoint aNow) const
{
  const bool isStated =
    m_reportedAt != TimePoint{} && aNow < m_reportedAt + kReportedLifetime;
  return isStated ? OwnRunning() + m_reportedOthers : AllUse(aNow).m_running;
}

double
EndpointLoad::Pace(TimePoint aNow) const noexcept
{
  return m_pacedAt != TimePoint{} && aNow < m_pacedAt + kPaceLifetime ? m_pace
                                                                      : 1.0;
}

void
EndpointLoad::OnEnd(TimePoint aNow,
                    AttemptEnd aEnd,
                    std::chrono::nanoseconds aTook,
                    double aSlowdown)
{
  const auto sent =
    std::find_if(m_sent.begin(), m_sent.end(), [&](const Sent& aSent) {
      return aSent.m_at == aNow - aTook;
    });
  const double work = sent != m_sent.end() ? sent->m_work : 1.0;
  if (!m_sent.empty()) {
    m_sent.erase(sent != m_sent.end() ? sent : m_sent.begin());
  }
  // The requests in front of it in the queue were of mean work.
  const auto service = Scaled(aTook, 1.0 / (aSlowdown - 1.0 + work));
  if (aEnd == AttemptEnd::Unresponsive) {
    // The silence says nothing about the endpoint's speed.
    m_fullUntil = std::max(m_fullUntil, aNow + kUnresponsiveBackoff);
    return;
  }
  if (aEnd == AttemptEnd::Abandoned) {
    if (service > ServiceTime() &&
        ServiceTime() > std::chrono::nanoseconds(0)) {
      AddOwnAnswer(service); // a lower bound of the service time
    }
    return;
  }
  const bool reached = aEnd != AttemptEnd::NotSent && aEnd != AttemptEnd::Lost;
  const bool failed = aEnd == AttemptEnd::Failed || !reached;
  m_failures += kFailureWeight * ((failed ? 1.0 : 0.0) - m_failures);
  if (aEnd == AttemptEnd::NotRun) {
    m_fullUntil = std::max(m_fullUntil, aNow + kFullBackoff);
  }
  if (aEnd == AttemptEnd::Answered) {
    m_failuresInRow = 0;
    AddOwnAnswer(service);
  } else if (!reached) {
    const auto ejection = std::min(
      kFirstEjection * (1U << std::min(m_failuresInRow, 4U)), kMaxEjection);
    ++m_failuresInRow;
    m_ejectedUntil = aNow + ejection;
  }
}

void
EndpointLoad::OnPeer(TimePoint aNow, const std::string& aPeer, Use aUse)
{
  if (aUse.m_running == 0 && aUse.m_waiting == 0) {
    m_peers.erase(aPeer);
  } else {
    m_peers[aPeer] = { aUse, aNow };
    NoteLoad(aNow);
  }
}

void
EndpointLoad::AddOwnAnswer(std::chrono::nanoseconds aService) noexcept
{
  AddAnswers(1, aService);
  ++m_unreported;
  m_unreportedTime += aService;
}

/** Updates the mean service time: an arithmetic mean while there are few
    answers, then an exponential moving average. */
void
EndpointLoad::AddAnswers(std::size_t aAnswers,
                         std::chrono::nanoseconds aService) noexcept
{
  m_samples += aAnswers;
  const auto answers = static_cast<double>(aAnswers);
  const double weight = std::max(1.0 - std::pow(1.0 - kServiceWeight, answers),
                                 answers / static_cast<double>(m_samples));
  m_service += Scaled(aService - m_service, weight);
}

void
EndpointLoad::OnPeerAnswers(std::size_t aAnswers,
                            std::chrono::nanoseconds aService) noexcept
{
  if (aAnswers > 0) {
    AddAnswers(aAnswers, aService);
  }
}

EndpointLoad::Answers
EndpointLoad::TakeAnswers() noexcept
{
  const auto count = std::exchange(m_unreported, 0);
  const auto time = std::exchange(m_unreportedTime, {});
  return { count,
           count > 0 ? Scaled(time, 1.0 / static_cast<double>(count))
                     : std::chrono::nanoseconds(0) };
}

std::chrono::nanoseconds
EndpointLoad::ServiceTime() const noexcept
{
  const bool fleetKnowsMore =
    m_samples < kManySamples && m_fleetService > std::chrono::nanoseconds(0);
  if (fleetKnowsMore || m_samples < kEnoughSamples) {
    return m_fleetService;
  }
  return m_service;
}

EndpointLoad::Use
EndpointLoad::OwnUse(TimePoint aNow) const
{
  const auto service = ServiceTime();
  const auto running = m_sent.size();
  const double slowdown = Slowdown(static_cast<double>(running));
  const auto overdue =
    service == std::chrono::nanoseconds(0)
      ? 0
      : std::count_if(m_sent.begin(), m_sent.end(), [&](const Sent& aSent) {
          return aNow - aSent.m_at >
                 Scaled(service,
                        kOverdueAfter * (slowdown - 1.0 + aSent.m_work));
        });
  return { running, static_cast<std::size_t>(overdue), m_waiting };
}

EndpointLoad::Use
EndpointLoad::AllUse(TimePoint aNow) const
{
  Use all = OwnUse(aNow);
  for (const auto& [peer, peerUse] : m_peers) {
    if (aNow < peerUse.m_reportedAt + kPeerReportLifetime) {
      all.m_running += peerUse.m_use.m_running;
      all.m_overdue += peerUse.m_use.m_overdue;
      all.m_waiting += peerUse.m_use.m_waiting;
    }
  }
  return all;
}

double
EndpointLoad::OverdueShare(TimePoint aNow) const
{
  const Use all = AllUse(aNow);
  if (all.m_overdue < kMinOverdue) {
    return 0.0;
  }
  const double part =
    static_cast<double>(all.m_overdue) / static_cast<double>(all.m_running);
  return part < kMinOverdueShare ? 0.0 : part;
}

std::size_t
EndpointLoad::MaxRunning() const noexcept
{
  return m_slots + kExtraRequests;
}

std::chrono::nanoseconds
EndpointLoad::ServiceTimeOr(std::chrono::nanoseconds aTypical) const noexcept
{
  const auto known = ServiceTime();
  return known > std::chrono::nanoseconds(0) ? known : aTypical;
}

std::size_t
EndpointLoad::Limit(TimePoint aNow) const
{
  return aNow < m_fullUntil ? 0 : MaxRunning();
}

std::chrono::nanoseconds
EndpointLoad::ExpectedWait(TimePoint aNow,
                           std::chrono::nanoseconds aTypical) const
{
  const auto service = ServiceTimeOr(aTypical);
  const Use all = AllUse(aNow);
  const std::size_t limit = MaxRunning();
  const std::size_t running = Running(aNow);
  const std::size_t over = running > limit ? running - limit : 0;
  const auto ahead = static_cast<double>(all.m_waiting + over);
  return Scaled(service, ahead / static_cast<double>(m_slots));
}

std::chrono::nanoseconds
EndpointLoad::ExpectedFinish(TimePoint aNow,
                             std::chrono::nanoseconds aTypical,
                             double aOwnWeight,
                             double aWork) const
{
  const auto service = ServiceTimeOr(aTypical);
  const auto own = static_cast<double>(OwnRunning());
  const auto all = static_cast<double>(Running(aNow));
  const double slowdown = Slowdown(all + own * (aOwnWeight - 1.0));
  // A failure or an overdue answer costs several service times.
  constexpr double kFailureCost = 4.0;
  const double faults = m_failures + OverdueShare(aNow);
  return Scaled(service,
                (slowdown - 1.0 + aWork) * Pace(aNow) *
                  (1.0 + kFailureCost * faults));
}

} // namespace sapphirehook
