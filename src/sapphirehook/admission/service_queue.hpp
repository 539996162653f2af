#ifndef SAPPHIREHOOK_ADMISSION_SERVICE_QUEUE_HPP
#define SAPPHIREHOOK_ADMISSION_SERVICE_QUEUE_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/routing/request_class.hpp"

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <list>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sapphirehook {

/** A request that waits for an endpoint. */
struct QueueEntry
{
  std::uint64_t m_id = 0;
  KindKey m_kind;
  /** Estimated end of the objective, counted from the caller's first attempt.
      A caller that comes back has an earlier one than a new caller. */
  TimePoint m_objectiveAt{};
  /** The one endpoint that the request waits for; empty if any will do. */
  std::string m_awaitedEndpoint;
};

/** Result of an attempt to send a queued request. */
enum class WalkStep : unsigned char
{
  /** The request has left the queue. */
  Taken,
  /** This request cannot be sent now. */
  Waits,
  /** No request of its kind that any endpoint may serve can be sent now. */
  KindWaits,
};

/** Tries to send a queued request. */
template<typename Function, typename Item>
concept QueueVisitor = requires(Function aVisit, const Item& aItem)
{
  {
    aVisit(aItem)
    } -> std::same_as<WalkStep>;
};

/** The queued requests of one service in the order in which they are served: by
    priority, then by the estimated end of the objective. */
template<typename Item>
class ServiceQueue
{
public:
  /** Adds a request after those of equal urgency. */
  void Add(QueueEntry aEntry, Item aItem)
  {
    const auto at = std::upper_bound(m_waiting.begin(),
                                     m_waiting.end(),
                                     Rank(aEntry),
                                     [](const auto& aRank, const auto& aOne) {
                                       return aRank < Rank(aOne.m_entry);
                                     });
    m_waiting.insert(at, { std::move(aEntry), std::move(aItem) });
  }

  /** Removes a request. Returns its entry, which has the id 0 if the request
      was not queued. */
  QueueEntry Remove(std::uint64_t aId)
  {
    const auto found =
      std::find_if(m_waiting.begin(), m_waiting.end(), [&](const auto& aOne) {
        return aOne.m_entry.m_id == aId;
      });
    if (found == m_waiting.end()) {
      return {};
    }
    auto entry = std::move(found->m_entry);
    m_waiting.erase(found);
    return entry;
  }

  [[nodiscard]] std::size_t Size() const noexcept { return m_waiting.size(); }

  /** Returns the number of requests that are served before one that would be
      added now. */
  [[nodiscard]] std::size_t Ahead(const QueueEntry& aEntry) const
  {
    const auto rank = Rank(aEntry);
    return static_cast<std::size_t>(
      std::count_if(m_waiting.begin(), m_waiting.end(), [&](const auto& aOne) {
        return Rank(aOne.m_entry) <= rank;
      }));
  }

  /** Offers each queued request to aVisit in order. A request that cannot be
      sent does not block those behind it. aVisit may add and remove
      requests. */
  template<QueueVisitor<Item> Visit>
  void Walk(Visit aVisit) const
  {
    const std::vector<Waiting> waiting(m_waiting.begin(), m_waiting.end());
    std::set<KindKey> blockedKinds;
    for (const auto& [entry, item] : waiting) {
      const bool isAnywhere = entry.m_awaitedEndpoint.empty();
      if (isAnywhere && blockedKinds.contains(entry.m_kind)) {
        continue;
      }
      if (aVisit(item) == WalkStep::KindWaits) {
        blockedKinds.insert(entry.m_kind);
      }
    }
  }

private:
  struct Waiting
  {
    QueueEntry m_entry;
    Item m_item;
  };

  static std::pair<unsigned, TimePoint> Rank(const QueueEntry& aEntry) noexcept
  {
    return { aEntry.m_kind.m_urgency.m_priority, aEntry.m_objectiveAt };
  }

  std::list<Waiting> m_waiting;
};

} // namespace sapphirehook

#endif
