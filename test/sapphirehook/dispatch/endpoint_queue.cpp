#include "sapphirehook/dispatch/endpoint_queue.hpp"

#include "support/generate.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace sapphirehook;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kSlots = 4;
constexpr std::size_t kLongSlots = 1;
constexpr std::size_t kReserve = 1;
constexpr std::size_t kMaxWaiting = 12;
constexpr milliseconds kPeakRetention{ 100 };

struct ServiceTime
{
  std::chrono::nanoseconds m_mean{};
  std::chrono::nanoseconds m_deviation{};
};

/** Reference implementation of the queue with full scans of a list. */
class NaiveQueue
{
public:
  std::vector<std::uint64_t> Offer(TimePoint aNow, const QueuedRequest& aNew)
  {
    if (aNow + Service(aNew.m_long) > aNew.m_deadline) {
      return { aNew.m_id };
    }
    m_waiting.push_back(aNew);
    if (m_waiting.size() <= kMaxWaiting) {
      return {};
    }
    const auto earliest = First(aNew.m_long);
    return { Take(earliest).m_id };
  }

  std::vector<std::uint64_t> Expire(TimePoint aNow)
  {
    std::vector<std::uint64_t> expired;
    for (const bool isLong : { false, true }) {
      const auto& service = isLong ? m_longService : m_shortService;
      for (auto first = First(isLong); first < m_waiting.size();
           first = First(isLong)) {
        const auto sameLength = std::count_if(
          m_waiting.begin(), m_waiting.end(), [&](const auto& aWaiter) {
            return aWaiter.m_long == isLong;
          });
        auto limit = aNow + service.m_mean;
        if (sameLength > static_cast<std::ptrdiff_t>(kSlots)) {
          limit += 4 * service.m_deviation;
        }
        if (m_waiting[first].m_deadline >= limit) {
          break;
        }
        expired.push_back(Take(first).m_id);
      }
    }
    return expired;
  }

  std::optional<QueuedRequest> Next(TimePoint aNow)
  {
    if (m_running.size() >= kSlots || m_waiting.empty()) {
      return std::nullopt;
    }
    const auto next = First(false);
    if (next < m_waiting.size()) {
      const auto started = Start(next);
      const auto busy = RunningShort();
      if (busy >= m_peak || aNow - m_peakSince > kPeakRetention) {
        m_peak = busy;
        m_peakSince = aNow;
      }
      return started;
    }
    const auto longNext = First(true);
    const auto runningLong = m_running.size() - RunningShort();
    const auto reserved =
      aNow - m_peakSince > kPeakRetention ? RunningShort() : m_peak;
    const bool hasRoom = runningLong < kLongSlots ||
                         runningLong + std::max(reserved, kReserve) < kSlots;
    if (longNext < m_waiting.size() && hasRoom) {
      return Start(longNext);
    }
    return std::nullopt;
  }

  void End(std::uint64_t aId, milliseconds aServed)
  {
    const auto found = std::find_if(
      m_running.begin(), m_running.end(), [&](const QueuedRequest& aRunner) {
        return aRunner.m_id == aId;
      });
    auto& service = found->m_long ? m_longService : m_shortService;
    const std::chrono::nanoseconds served = aServed;
    if (service.m_mean.count() == 0) {
      service = { served, served / 2 };
    } else {
      const auto distance = std::chrono::abs(served - service.m_mean);
      service.m_deviation += (distance - service.m_deviation) / 8;
      service.m_mean += (served - service.m_mean) / 8;
    }
    m_running.erase(found);
  }

  [[nodiscard]] const std::vector<QueuedRequest>& Running() const
  {
    return m_running;
  }

private:
  [[nodiscard]] std::chrono::nanoseconds Service(bool aLong) const
  {
    return aLong ? m_longService.m_mean : m_shortService.m_mean;
  }

  [[nodiscard]] std::size_t RunningShort() const
  {
    return static_cast<std::size_t>(std::count_if(
      m_running.begin(), m_running.end(), [](const auto& aRunner) {
        return !aRunner.m_long;
      }));
  }

  /** Returns the index of the waiting request with the earliest deadline among
      the long or the short requests. */
  [[nodiscard]] std::size_t First(bool aLong) const
  {
    std::size_t best = m_waiting.size();
    for (std::size_t i = 0; i < m_waiting.size(); ++i) {
      const auto key = [&](std::size_t aPlace) {
        return std::pair(m_waiting[aPlace].m_deadline, m_waiting[aPlace].m_id);
      };
      const bool fits = m_waiting[i].m_long == aLong;
      if (fits && (best == m_waiting.size() || key(i) < key(best))) {
        best = i;
      }
    }
    return best;
  }

  QueuedRequest Take(std::size_t aPlace)
  {
    const auto taken = m_waiting[aPlace];
    m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(aPlace));
    return taken;
  }

  QueuedRequest Start(std::size_t aPlace)
  {
    m_running.push_back(Take(aPlace));
    return m_running.back();
  }

  std::vector<QueuedRequest> m_waiting;
  std::vector<QueuedRequest> m_running;
  ServiceTime m_shortService;
  ServiceTime m_longService;
  std::size_t m_peak = 0;
  TimePoint m_peakSince{};
};

} // namespace

TEST_CASE("the queue agrees with a reference that scans lists", "[queue]")
{
  std::size_t started = 0;
  std::size_t refusals = 0;
  CHECK(rc::check("queue", [&](unsigned aSeed) {
    std::mt19937 random(aSeed);
    EndpointQueue queue(
      { kSlots, kLongSlots, kReserve, kMaxWaiting, kPeakRetention, kSlots });
    NaiveQueue naive;
    TimePoint now{ std::chrono::seconds(10) };
    for (std::uint64_t id = 1; id < 200; ++id) {
      now += milliseconds(support::Draw(random, 20));
      const auto choice = support::Draw(random, 4);
      if (choice < 2) {
        const QueuedRequest request{ id,
                                     support::Draw(random, 4) == 0,
                                     now + milliseconds(
                                             10 + support::Draw(random, 300)) };
        const auto refused = queue.Offer(now, request);
        RC_ASSERT(refused == naive.Offer(now, request));
        refusals += refused.size();
      } else if (choice == 2 && !naive.Running().empty()) {
        const auto place = support::Draw(random, naive.Running().size());
        const auto ended = naive.Running()[place].m_id;
        const milliseconds served(1 + support::Draw(random, 40));
        queue.OnEnded(now, ended, served);
        naive.End(ended, served);
      }
      auto expired = queue.Expire(now);
      auto expected = naive.Expire(now);
      std::sort(expired.begin(), expired.end());
      std::sort(expected.begin(), expected.end());
      RC_ASSERT(expired == expected);
      const auto next = queue.Next(now, 0);
      const auto naiveNext = naive.Next(now);
      RC_ASSERT(next.has_value() == naiveNext.has_value());
      if (next) {
        RC_ASSERT(next->m_id == naiveNext->m_id);
        ++started;
      }
      RC_ASSERT(queue.Running() == naive.Running().size());
      RC_ASSERT(queue.Running() <= kSlots);
    }
  }));
  CHECK(started > 0);
  CHECK(refusals > 0);
}

TEST_CASE("a restarted endpoint opens its slots one by one", "[queue]")
{
  EndpointQueue queue({ 6, 2, 2, 100, kPeakRetention, 2 });
  const TimePoint now{ std::chrono::seconds(10) };
  const auto later = now + std::chrono::seconds(100);
  for (std::uint64_t id = 1; id <= 20; ++id) {
    CHECK(queue.Offer(now, { id, false, later }).empty());
  }
  queue.StartCold();
  CHECK(queue.Next(now, 0)->m_id == 1);
  CHECK(queue.Next(now, 0)->m_id == 2);
  CHECK_FALSE(queue.Next(now, 0));
  queue.OnEnded(now, 1, milliseconds(1));
  CHECK(queue.Next(now, 0));
  CHECK(queue.Next(now, 0));
  CHECK_FALSE(queue.Next(now, 0));
}

TEST_CASE("slots that other daemons use are not assigned", "[queue]")
{
  EndpointQueue queue({ 6, 2, 2, 100, kPeakRetention, 2 });
  const TimePoint now{ std::chrono::seconds(10) };
  for (std::uint64_t id = 1; id <= 6; ++id) {
    CHECK(
      queue.Offer(now, { id, false, now + std::chrono::seconds(9) }).empty());
  }
  CHECK(queue.Next(now, 4));
  CHECK(queue.Next(now, 4));
  CHECK_FALSE(queue.Next(now, 4));
}
