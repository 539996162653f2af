#ifndef SAPPHIREHOOK_KEYS_RANGE_MAP_HPP
#define SAPPHIREHOOK_KEYS_RANGE_MAP_HPP

#include "sapphirehook/keys/range.hpp"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirehook {

/** Route of the requests for the keys of a range. */
struct RangeRoute
{
  KeyRange m_range;
  /** Endpoint that holds the range, or to which the range is moving. */
  std::string m_endpoint;
  /** The endpoint has been granted the range. Until then requests wait. */
  bool m_ready = false;

  MSGPACK_DEFINE_ARRAY(m_range, m_endpoint, m_ready)
  bool operator==(const RangeRoute&) const = default;
};

/** Digest of the routes of a block. Two daemons with the same digest send the
    block's requests to the same endpoints. */
using BlockDigest = std::uint32_t;

/** Digest of a daemon's routes for one block. */
struct BlockState
{
  unsigned m_block = 0;
  BlockDigest m_digest = 0;

  MSGPACK_DEFINE_ARRAY(m_block, m_digest)
  auto operator<=>(const BlockState&) const = default;
};

/** A daemon's map from keys to the endpoints that hold them. It may be out of
    date: endpoints refuse requests for keys that they do not hold. */
class RangeMap
{
public:
  /** Sets the route of a range and replaces the routes that it overlaps. */
  void Assign(const RangeRoute& aRoute);

  /** Returns the route of a key, or null if none is known. */
  [[nodiscard]] const RangeRoute* Find(Key aKey) const;

  /** Returns the routes of a block, in as few ranges as possible. */
  [[nodiscard]] std::vector<RangeRoute> Block(unsigned aBlock) const;

  [[nodiscard]] BlockDigest Digest(unsigned aBlock) const;

  /** Whether every key has a route. */
  [[nodiscard]] bool IsComplete() const;

private:
  /** Splits the route that covers a key, so that a route begins at the key. */
  void SplitBefore(Key aKey);

  /** Routes by first key. */
  std::map<Key, RangeRoute> m_routes;
  /** Cached digests; empty for blocks that have changed since. */
  mutable std::array<std::optional<BlockDigest>, kBlocks> m_digests;
};

} // namespace sapphirehook

#endif
