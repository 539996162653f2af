#ifndef SAPPHIREHOOK_SOAK_LEASES_HPP
#define SAPPHIREHOOK_SOAK_LEASES_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/keys/range.hpp"

#include <optional>
#include <vector>

namespace sapphirehook::soak {

/** What an endpoint holds: a row for each key, so that nothing can be wrong
    about ranges. */
class Leases
{
public:
  Leases();

  /** Takes a grant whose time counts from its arrival. Returns false when a
      higher fence has been seen on one of the keys. */
  [[nodiscard]] bool Grant(const GrantCommand& aOrder, TimePoint aUntil);

  /** Stops new work on a range. */
  void Release(KeyRange aRange);

  /** Returns the fence under which a key is held. */
  [[nodiscard]] std::optional<Fence> Holds(TimePoint aNow, Key aKey) const;

private:
  struct Row
  {
    Fence m_highest = 0;
    TimePoint m_until{};
  };

  std::vector<Row> m_rows;
};

} // namespace sapphirehook::soak

#endif
