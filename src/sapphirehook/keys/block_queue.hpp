#ifndef SAPPHIREHOOK_KEYS_BLOCK_QUEUE_HPP
#define SAPPHIREHOOK_KEYS_BLOCK_QUEUE_HPP

#include "sapphirehook/core/byte_rate_limiter.hpp"

#include <compare>
#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <string>

namespace sapphirehook {

/** A daemon's request for a block of a service's range map. */
struct BlockRequest
{
  std::string m_host;
  std::string m_service;
  unsigned m_block = 0;

  auto operator<=>(const BlockRequest&) const = default;
};

/** Queue of the map blocks that daemons have requested from the leader. Blocks
    are sent at a limited rate, so that a fleet that requests all blocks at once
    does not crowd the leader's heartbeats out of its link. Without heartbeats
    other daemons claim to lead. */
class BlockQueue
{
public:
  explicit BlockQueue(double aBytesPerSecond);

  /** Queues a request. A request that is queued already is not added again. */
  void Add(const BlockRequest& aRequest);

  /** Removes and returns the next request if the rate limit allows it now. */
  [[nodiscard]] std::optional<BlockRequest> TakeNext(TimePoint aNow);

  /** Deducts the bytes that have been sent from the credit. */
  void OnSent(std::size_t aBytes) noexcept { m_credit.Spend(aBytes); }

  [[nodiscard]] bool IsEmpty() const noexcept { return m_requests.empty(); }

  void Clear();

private:
  ByteRateLimiter m_credit;
  std::deque<BlockRequest> m_requests;
  std::set<BlockRequest> m_queued;
};

} // namespace sapphirehook

#endif
