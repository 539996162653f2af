#ifndef SAPPHIREHOOK_GATEWAY_INTERNAL_OWNERSHIP_RECORDS_HPP
#define SAPPHIREHOOK_GATEWAY_INTERNAL_OWNERSHIP_RECORDS_HPP

#include "sapphirehook/core/message_pack.hpp"
#include "sapphirehook/core/text.hpp"
#include "sapphirehook/core/time.hpp"
#include "sapphirehook/keys/leadership.hpp"
#include "sapphirehook/store/keyed_record.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/** Keys and values of the ownership topic, and the timeout of store calls for
    it. */
namespace sapphirehook::internal {

/** Topic of the leader's record and of the range assignments. */
inline constexpr const char* kTopic = "keyed.ownership";
inline constexpr const char* kLeaderKey = "leader";
inline constexpr const char* kRangePrefix = "ranges/";
inline constexpr Millis kStoreTimeout{ 1200 };
/** Delay before a rejected or unresolved append is retried. */
inline constexpr Millis kStoreRetry{ 120 };
/** Number of low bits of a fence that count the changes within a term. A term
    has fewer changes than they can count. */
inline constexpr unsigned kFenceTermBits = 22;

/** Returns the first fence of a term, which is above those of all lower terms.
 */
[[nodiscard]] constexpr Fence
FirstFenceOf(Term aTerm) noexcept
{
  return (aTerm << kFenceTermBits) + 1;
}

/** Returns the key of a block of a service's assignments. */
[[nodiscard]] inline std::string
BlockKey(const std::string& aService, unsigned aBlock)
{
  return kRangePrefix + aService + "/" + std::to_string(aBlock);
}

/** Parses the assignments of a block. Returns InvalidArgument unless their
    ranges lie within the block, in order and without overlap, as a leader
   writes them. */
[[nodiscard]] inline absl::StatusOr<std::vector<RangeAssignment>>
UnpackBlock(unsigned aBlock, std::string_view aBytes)
{
  auto assignments = Unpack<std::vector<RangeAssignment>>(aBytes);
  if (!assignments.ok()) {
    return assignments;
  }
  std::uint32_t next = aBlock * kBlockKeys;
  const std::uint32_t end = next + kBlockKeys;
  for (const auto& assignment : *assignments) {
    const auto& range = assignment.m_range;
    if (range.m_first < next || range.m_last < range.m_first ||
        range.m_last >= end) {
      return absl::InvalidArgumentError(
        Concat("range ",
               range.m_first,
               " to ",
               range.m_last,
               " of block ",
               aBlock,
               " overlaps another one or lies outside the block"));
    }
    next = range.m_last + 1U;
  }
  return assignments;
}

/** Parses the value of the leader's record. Returns nothing if it has none that
    can be read. */
[[nodiscard]] inline std::optional<LeaderRecord>
UnpackLeader(const KeyedRecord& aRecord)
{
  const auto leader = Unpack<LeaderRecord>(aRecord.m_value.value_or(""));
  return leader.ok() ? std::optional(*leader) : std::nullopt;
}

} // namespace sapphirehook::internal

#endif
