#ifndef SAPPHIREHOOK_ROUTING_REQUEST_CLASS_HPP
#define SAPPHIREHOOK_ROUTING_REQUEST_CLASS_HPP

#include "sapphirehook/core/hash.hpp"
#include "sapphirehook/core/text.hpp"
#include "sapphirehook/routing/route.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace sapphirehook {

/** How urgent a request is: by priority, then by objective. Smaller values are
    more urgent. A short objective stands for short work in the users'
    workload, so this order also yields the most value for a unit of work. */
struct Urgency
{
  unsigned m_priority = 0;
  Millis m_objective{};

  auto operator<=>(const Urgency&) const = default;
};

/** What the routes of one kind have in common. */
struct KindKey
{
  Urgency m_urgency;
  RequestKind m_type = RequestKind::NeverRepeat;

  auto operator<=>(const KindKey&) const = default;
};

/** Returns the kind of a route's requests. */
[[nodiscard]] inline KindKey
KindOf(const Route& aRoute) noexcept
{
  return { { aRoute.m_priority, aRoute.m_objective }, aRoute.m_kind };
}

/** Returns the hash under which daemons exchange figures about a kind of a
    service. */
[[nodiscard]] inline std::uint32_t
HashOf(const std::string& aService, const KindKey& aKind)
{
  return static_cast<std::uint32_t>(
    StableHash(Concat(aService,
                      "/",
                      static_cast<unsigned>(aKind.m_type),
                      "/",
                      aKind.m_urgency.m_priority,
                      "/",
                      aKind.m_urgency.m_objective.count())));
}

} // namespace sapphirehook

#endif
