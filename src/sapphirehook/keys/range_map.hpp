#ifndef SAPPHIREHOOK_KEYS_RANGE_MAP_HPP
#define SAPPHIREHOOK_KEYS_RANGE_MAP_HPP

#include "sapphirehook/keys/range.hpp"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirehook {

/** Where the requests of a range go. */
struct RangeRoute
{
  KeyRange m_range;
  /** Endpoint that holds the range, or is about to. */
  std::string m_endpoint;
  /** It has been granted the range; otherwise requests wait. */
  bool m_ready = false;

  MSGPACK_DEFINE_ARRAY(m_range, m_endpoint, m_ready)
  bool operator==(const RangeRoute&) const = default;
};

/** A digest of the routes of a block. Two daemons with the same digest send the
    block's requests to the same endpoints. */
using BlockDigest = std::uint32_t;

/** What a daemon knows of one block. */
struct BlockState
{
  unsigned m_block = 0;
  BlockDigest m_digest = 0;

  MSGPACK_DEFINE_ARRAY(m_block, m_digest)
  auto operator<=>(const BlockState&) const = default;
};

/** A daemon's view of which endpoint holds which keys. It may be behind: the
    endpoints themselves refuse what they do not hold. */
class RangeMap
{
public:
  /** Sets the route of a range, over whatever it covered before. */
  void Assign(const RangeRoute& aRoute);

  /** Returns the route of a key, or null when none is known. */
  [[nodiscard]] const RangeRoute* Find(Key aKey) const;

  /** Returns the routes of a block, in as few ranges as possible. */
  [[nodiscard]] std::vector<RangeRoute> Block(unsigned aBlock) const;

  [[nodiscard]] BlockDigest Digest(unsigned aBlock) const;

  /** Whether every key has a route. */
  [[nodiscard]] bool IsComplete() const;

private:
  void CutBefore(Key aKey);

  /** Routes by first key. */
  std::map<Key, RangeRoute> m_routes;
  /** Digests of the blocks that have not changed since they were worked out. */
  mutable std::array<std::optional<BlockDigest>, kBlocks> m_digests;
};

} // namespace sapphirehook

#endif
