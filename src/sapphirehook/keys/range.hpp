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

/** Keys of a block. Assignments are stored and sent to other daemons block by
    block, so that a change rewrites little. */
inline constexpr std::uint32_t kBlockKeys = 4096;

/** Number of blocks. */
inline constexpr unsigned kBlocks = kKeyCount / kBlockKeys;

/** Fencing token. It grows with each change of a key's holder. An endpoint
    refuses commands with a lower fence than the highest that it has seen. */
using Fence = std::uint64_t;

/** A range of adjacent keys, both ends included. */
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

/** The only endpoint incarnation that may hold a range, and the fence of its
    lease. */
struct RangeAssignment
{
  KeyRange m_range;
  EndpointIncarnation m_owner;
  Fence m_fence = 0;

  MSGPACK_DEFINE_ARRAY(m_range, m_owner, m_fence)
  auto operator<=>(const RangeAssignment&) const = default;
};

/** Grants an endpoint a lease on a range. The lease duration runs from the
    arrival of the command. Sending the command again renews the lease. */
struct GrantCommand
{
  KeyRange m_range;
  Fence m_fence = 0;
  Millis m_leaseDuration{};
  /** Handover data of the previous holder; empty if there is none. */
  std::string m_handover;
};

/** Instructs an endpoint to start no more work on a range. The endpoint answers
    when its running work on the range has ended. */
struct ReleaseCommand
{
  KeyRange m_range;
  Fence m_fence = 0;
};

/** Outcome of a command to an endpoint. */
enum class CommandOutcome : unsigned char
{
  Done,
  /** The endpoint says that it has seen a higher fence on one of the keys. */
  Fenced,
  /** The endpoint's answer does not show whether it has executed the command.
   */
  Unclear,
  /** The endpoint's address refused the connection. */
  Refused,
  /** The command did not leave this daemon. */
  NotSent,
  /** The endpoint may have executed the command, or may execute it later. */
  NoAnswer,
};

/** Result of a command. */
struct CommandResult
{
  CommandOutcome m_end = CommandOutcome::NoAnswer;
  /** Handover data for the next holder, from a release. */
  std::string m_handover;
};

} // namespace sapphirehook

#endif
