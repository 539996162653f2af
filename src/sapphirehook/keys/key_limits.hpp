#ifndef SAPPHIREHOOK_KEYS_KEY_LIMITS_HPP
#define SAPPHIREHOOK_KEYS_KEY_LIMITS_HPP

#include "sapphirehook/keys/range.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace sapphirehook {

/** Share of the requests for a key that the daemons admit. */
struct KeyLimit
{
  Key m_key = 0;
  std::uint32_t m_admittedPermille = 1000;

  MSGPACK_DEFINE_ARRAY(m_key, m_admittedPermille)
  auto operator<=>(const KeyLimit&) const = default;
};

/** The request rate of a key, in requests a second. */
struct KeyRate
{
  Key m_key = 0;
  double m_rate = 0.0;
};

/** Returns the limits that keep one endpoint within its capacity. aHotKeys are
    its keys with high rates, aOtherRate is the rate of all its other keys.

    Load pattern: a key for which callers send several times as many requests as
    any endpoint can serve. No move helps, and without a limit the excess fills
    the queues of its endpoint, where the requests for other keys wait too. The
    other keys are served in full; the hot keys share what is left, and those
    that need the least are limited last. */
[[nodiscard]] std::vector<KeyLimit>
LimitHotKeys(double aCapacity,
             double aOtherRate,
             std::vector<KeyRate> aHotKeys);

/** Applies the limits of one service on one daemon. */
class KeyAdmission
{
public:
  /** Replaces the limits. They expire unless they are set again, so that they
      outlast the replacement of a lost leader, but not its absence. */
  void Set(TimePoint aNow, const std::vector<KeyLimit>& aLimits);

  /** Returns whether a request for a key that arrives now is admitted. */
  [[nodiscard]] bool Admit(TimePoint aNow, Key aKey);

  [[nodiscard]] std::size_t Size() const noexcept { return m_limits.size(); }

private:
  struct Limit
  {
    std::uint32_t m_permille = 1000;
    /** Admits the next request at 1000. */
    std::uint32_t m_credit = 0;
  };

  std::map<Key, Limit> m_limits;
  TimePoint m_expiresAt{};
};

} // namespace sapphirehook

#endif
