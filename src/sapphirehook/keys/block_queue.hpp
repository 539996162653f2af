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

/** A block of a service's map that a daemon has asked for. */
struct BlockOrder
{
  std::string m_host;
  std::string m_service;
  unsigned m_block = 0;

  auto operator<=>(const BlockOrder&) const = default;
};

/** What a leader has been asked for of its maps. It is sent at a limited rate,
    so that a fleet that asks for everything at once leaves room on the leader's
    link for its beats, without which others would claim to lead. */
class BlockQueue
{
public:
  explicit BlockQueue(double aBytesPerSecond);

  /** Adds an order; one that waits already is not sent twice. */
  void Add(const BlockOrder& aOrder);

  /** Returns the next order when it may be sent now. */
  [[nodiscard]] std::optional<BlockOrder> TakeNext(TimePoint aNow);

  /** Counts what has been sent. */
  void OnSent(std::size_t aBytes) noexcept { m_credit.Spend(aBytes); }

  [[nodiscard]] bool IsEmpty() const noexcept { return m_orders.empty(); }

  void Clear();

private:
  ByteRateLimiter m_credit;
  std::deque<BlockOrder> m_orders;
  std::set<BlockOrder> m_waiting;
};

} // namespace sapphirehook

#endif
