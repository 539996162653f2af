#ifndef SAPPHIREHOOK_KEYS_RANGE_HPP
#define SAPPHIREHOOK_KEYS_RANGE_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/discovery/endpoint_directory.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace sapphirehook {

/** A request's key, hashed or numbered by the caller. */
using Key = std::uint16_t;

/** Number of different keys. */
inline constexpr std::uint32_t kKeyCount = 65'536;

/** Keys of a block: assignments are stored, and other daemons told of them, by
    the block, so that a change rewrites little. */
inline constexpr std::uint32_t kBlockKeys = 4096;

/** Number of blocks. */
inline constexpr unsigned kBlocks = kKeyCount / kBlockKeys;

/** A number that grows with each change of a key's holder; an endpoint
    refuses orders with a lower number than it has seen. */
using Fence = std::uint64_t;

/** Neighbouring keys, both ends included. */
struct KeyRange
{
  Key m_first = 0;
  Key m_last = 0;

  MSGPACK_DEFINE_ARRAY(m_first, m_last)
  auto operator<=>(const KeyRange&) const = default;

  [[nodiscard]] std::uint32_t Size() const noexcept
  {
    return std::uint32_t{ m_last } - m_first + 1;
  }
  [[nodiscard]] bool Contains(Key aKey) const noexcept
  {
    return m_first <= aKey && aKey <= m_last;
  }
};

/** The only life of an endpoint that may hold a range, and the fence that it
    holds it with. */
struct RangeAssignment
{
  KeyRange m_range;
  EndpointLife m_owner;
  Fence m_fence = 0;

  MSGPACK_DEFINE_ARRAY(m_range, m_owner, m_fence)
  auto operator<=>(const RangeAssignment&) const = default;
};

/** Lets an endpoint hold a range for a time that counts from the arrival of
    the order. Sent again, it renews. */
struct GrantOrder
{
  KeyRange m_range;
  Fence m_fence = 0;
  Millis m_hold{};
  /** What the last holder handed over; empty when there is nothing. */
  std::string m_handover;
};

/** Tells an endpoint to start no more work on a range. It answers when what
    it runs there has ended. */
struct ReleaseOrder
{
  KeyRange m_range;
  Fence m_fence = 0;
};

/** How an order to an endpoint ended. */
enum class OrderEnd : unsigned char
{
  Done,
  /** The endpoint has seen a higher fence on one of the keys. */
  Fenced,
  /** The endpoint could not make sense of it. */
  Rejected,
  /** Nothing listens at the endpoint's address. */
  Refused,
  /** The order did not leave this daemon. */
  NotSent,
  /** It may be carried out, or be carried out later. */
  NoAnswer,
};

/** Answer to an order. */
struct OrderAnswer
{
  OrderEnd m_end = OrderEnd::NoAnswer;
  /** For a release: what the next holder is to be given. */
  std::string m_handover;
};

} // namespace sapphirehook

#endif
