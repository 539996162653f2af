#ifndef SAPPHIREHOOK_CORE_IDS_HPP
#define SAPPHIREHOOK_CORE_IDS_HPP

#include <chrono>
#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace sapphirehook {

/** Position of a record in a stream of the log service. */
using Offset = std::uint64_t;

/** Term of a group's dispatcher; increases with each claim. */
using Term = std::uint64_t;

/** Number of accepted records that changed a group or a layout. */
using Version = std::uint64_t;

/** One incarnation of a daemon on a host. The numbers of two incarnations say
    nothing of their order, since a host's clock may be set back. */
struct HostId
{
  std::string m_host;
  std::uint64_t m_incarnation = 0;

  MSGPACK_DEFINE_ARRAY(m_host, m_incarnation)
  auto operator<=>(const HostId&) const = default;
};

/** Number of low bits of an incarnation that are random. */
inline constexpr unsigned kIncarnationRandomBits = 16;

/** Returns the number of an incarnation from the time of day at which it starts
    and a random number. */
[[nodiscard]] constexpr std::uint64_t
MakeIncarnation(std::chrono::milliseconds aStartedAt, unsigned aRandom) noexcept
{
  constexpr std::uint64_t kRandomMask = (1U << kIncarnationRandomBits) - 1;
  return (static_cast<std::uint64_t>(aStartedAt.count())
          << kIncarnationRandomBits) |
         (aRandom & kRandomMask);
}

/** Returns the time of day at which an incarnation started, by its host's
    clock. */
[[nodiscard]] constexpr std::chrono::milliseconds
IncarnationStart(std::uint64_t aIncarnation) noexcept
{
  return std::chrono::milliseconds(aIncarnation >> kIncarnationRandomBits);
}

/** A set of endpoints of one region that share a dispatcher. */
struct GroupId
{
  std::string m_region;
  std::uint32_t m_number = 0;

  MSGPACK_DEFINE_ARRAY(m_region, m_number)
  auto operator<=>(const GroupId&) const = default;
};

/** Fencing token of an endpoint's grant; a later grant has a higher token. */
struct FencingToken
{
  Term m_term = 0;
  std::uint64_t m_sequence = 0;

  MSGPACK_DEFINE_ARRAY(m_term, m_sequence)
  auto operator<=>(const FencingToken&) const = default;
};

/** Returns the text form "host#incarnation". */
[[nodiscard]] inline std::string
ToString(const HostId& aHost)
{
  return aHost.m_host + "#" + std::to_string(aHost.m_incarnation);
}

/** Returns the text form "region/number". */
[[nodiscard]] inline std::string
ToString(const GroupId& aGroup)
{
  return aGroup.m_region + "/" + std::to_string(aGroup.m_number);
}

/** Returns the text form "term.sequence" of the Sapphirehook-Fence header. */
[[nodiscard]] inline std::string
ToString(const FencingToken& aToken)
{
  return std::to_string(aToken.m_term) + "." +
         std::to_string(aToken.m_sequence);
}

} // namespace sapphirehook

#endif
