#ifndef SAPPHIREHOOK_STORE_STORE_POSITION_HPP
#define SAPPHIREHOOK_STORE_STORE_POSITION_HPP

#include "sapphirehook/core/ids.hpp"

#include <compare>
#include <cstdint>
#include <msgpack.hpp>

namespace sapphirehook {

/** Number of times the store was restored from an older copy of itself, as the
    store counts it. 0 if the store does not report it. */
using StoreEra = std::uint64_t;

/** A position in a topic of the store. A restored store gives the same offsets
    out again, so offsets are comparable only within an era. Positions are
    ordered by era first: everything in a later era is newer. */
struct StorePosition
{
  StoreEra m_era = 0;
  Offset m_offset = 0;

  MSGPACK_DEFINE_ARRAY(m_era, m_offset)
  auto operator<=>(const StorePosition&) const = default;
};

} // namespace sapphirehook

#endif
