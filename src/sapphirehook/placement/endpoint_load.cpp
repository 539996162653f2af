#include "sapphirehook/placement/endpoint_load.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sapphirehook {

namespace {

/** Requests beyond its slots that an endpoint may have. */
constexpr std::size_t kExtra = 2;
/** A peer's word counts for this long; peers speak several times a second. */
constexpr Millis kPeerWordLasts{ 700 };
/** An endpoint that failed is left out for this long at first, and at most. */
constexpr Millis kFirstEjection{ 200 };
constexpr Millis kLongestEjection{ 3200 };
/** An endpoint that said it is full gets nothing for this long. */
constexpr Millis kFullLasts{ 60 };
/** A request is overdue after this many times the usual time; 3 in 100 requests
    of the users' sheets last seven times as long as the others. */
constexpr double kOverdueAfter = 3.0;
/** Overdue requests that tell of a slow endpoint: this many, and this part of
    those there. One in ten of a sound endpoint's is overdue at a time. */
constexpr std::size_t kEnoughOverdue = 2;
constexpr double kOverduePart = 0.6;
/** Own answers after which the fleet's mean tells nothing more. */
constexpr std::size_t kManySamples = 40;
/** Weights of the newest observation in running means. */
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
EndpointLoad::Turns(double aRunning) const noexcept
{
  const auto slots = static_cast<double>(m_slots);
  return 1.0 + std::max(aRunning - slots + 1.0, 0.0) / slots;
}

double
EndpointLoad::OnSent(TimePoint aNow)
{
  const double turns = Turns(static_cast<double>(Running(aNow)));
  m_sentAt.push_back(aNow);
  return turns;
}

void
EndpointLoad::OnEnd(TimePoint aNow,
                    AttemptEnd aEnd,
                    std::chrono::nanoseconds aTook,
                    double aTurns)
{
  const auto sent = std::find(m_sentAt.begin(), m_sentAt.end(), aNow - aTook);
  if (!m_sentAt.empty()) {
    m_sentAt.erase(sent != m_sentAt.end() ? sent : m_sentAt.begin());
  }
  const auto service = Scaled(aTook, 1.0 / aTurns);
  if (aEnd == AttemptEnd::Abandoned) {
    if (service > ServiceTime() &&
        ServiceTime() > std::chrono::nanoseconds(0)) {
      AddOwnAnswer(service); // it would have taken longer still
    }
    return;
  }
  const bool reached = aEnd != AttemptEnd::NotSent && aEnd != AttemptEnd::Lost;
  const bool failed = aEnd == AttemptEnd::Failed || !reached;
  m_failures += kFailureWeight * ((failed ? 1.0 : 0.0) - m_failures);
  if (aEnd == AttemptEnd::NotRun) {
    m_fullUntil = aNow + kFullLasts;
  }
  if (aEnd == AttemptEnd::Answered) {
    m_failuresInRow = 0;
    AddOwnAnswer(service);
  } else if (!reached) {
    const auto ejection = std::min(
      kFirstEjection * (1U << std::min(m_failuresInRow, 4U)), kLongestEjection);
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
  }
}

void
EndpointLoad::AddOwnAnswer(std::chrono::nanoseconds aService) noexcept
{
  AddAnswers(1, aService);
  ++m_untold;
  m_untoldTime += aService;
}

/** Follows the mean of answers: of all while they are few, then one in which
    older answers fade. */
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
  const auto count = std::exchange(m_untold, 0);
  const auto time = std::exchange(m_untoldTime, {});
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
  const auto running = m_sentAt.size();
  const auto limit =
    Scaled(service, kOverdueAfter * Turns(static_cast<double>(running)));
  const auto overdue =
    service == std::chrono::nanoseconds(0)
      ? 0
      : std::count_if(m_sentAt.begin(), m_sentAt.end(), [&](TimePoint aSent) {
          return aNow - aSent > limit;
        });
  return { running, static_cast<std::size_t>(overdue), m_waiting };
}

EndpointLoad::Use
EndpointLoad::AllUse(TimePoint aNow) const
{
  Use all = OwnUse(aNow);
  for (const auto& [peer, told] : m_peers) {
    if (aNow < told.m_toldAt + kPeerWordLasts) {
      all.m_running += told.m_use.m_running;
      all.m_overdue += told.m_use.m_overdue;
      all.m_waiting += told.m_use.m_waiting;
    }
  }
  return all;
}

double
EndpointLoad::OverduePart(TimePoint aNow) const
{
  const Use all = AllUse(aNow);
  if (all.m_overdue < kEnoughOverdue) {
    return 0.0;
  }
  const double part =
    static_cast<double>(all.m_overdue) / static_cast<double>(all.m_running);
  return part < kOverduePart ? 0.0 : part;
}

std::size_t
EndpointLoad::MostThere() const noexcept
{
  return m_slots + kExtra;
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
  return aNow < m_fullUntil ? 0 : MostThere();
}

std::chrono::nanoseconds
EndpointLoad::ExpectedWait(TimePoint aNow,
                           std::chrono::nanoseconds aTypical) const
{
  const auto service = ServiceTimeOr(aTypical);
  const Use all = AllUse(aNow);
  const std::size_t limit = MostThere();
  const std::size_t over = all.m_running > limit ? all.m_running - limit : 0;
  const auto ahead = static_cast<double>(all.m_waiting + over);
  return Scaled(service, ahead / static_cast<double>(m_slots));
}

std::chrono::nanoseconds
EndpointLoad::ExpectedFinish(TimePoint aNow,
                             std::chrono::nanoseconds aTypical,
                             double aOwnWeight) const
{
  const auto service = ServiceTimeOr(aTypical);
  const auto own = static_cast<double>(OwnRunning());
  const auto all = static_cast<double>(Running(aNow));
  const double turns = Turns(all + own * (aOwnWeight - 1.0));
  // A failure, or an answer long overdue, costs several services.
  constexpr double kFailureCost = 4.0;
  const double faults = m_failures + OverduePart(aNow);
  return Scaled(service, turns * (1.0 + kFailureCost * faults));
}

} // namespace sapphirehook
