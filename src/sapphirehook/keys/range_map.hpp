#ifndef SAPPHIREHOOK_KEYS_RANGE_MAP_HPP
#define SAPPHIREHOOK_KEYS_RANGE_MAP_HPP

#include "sapphirehook/keys/range.hpp"

#include <map>
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

/** Orders the states of a service's range map: term of the leader, then a
    count of changes. */
struct MapVersion
{
  Term m_term = 0;
  std::uint64_t m_changes = 0;

  MSGPACK_DEFINE_ARRAY(m_term, m_changes)
  auto operator<=>(const MapVersion&) const = default;
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

  [[nodiscard]] std::vector<RangeRoute> All() const;

  [[nodiscard]] bool IsEmpty() const noexcept { return m_routes.empty(); }

private:
  void CutBefore(Key aKey);

  /** Routes by first key. */
  std::map<Key, RangeRoute> m_routes;
};

} // namespace sapphirehook

#endif
