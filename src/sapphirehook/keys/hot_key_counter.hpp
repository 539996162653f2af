#ifndef SAPPHIREHOOK_KEYS_HOT_KEY_COUNTER_HPP
#define SAPPHIREHOOK_KEYS_HOT_KEY_COUNTER_HPP

#include "sapphirehook/keys/range.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sapphirehook {

/** Number of requests for one key since the last report. */
struct KeyCount
{
  Key m_key = 0;
  std::uint32_t m_count = 0;

  MSGPACK_DEFINE_ARRAY(m_key, m_count)
  auto operator<=>(const KeyCount&) const = default;
};

/** Counts the busiest keys in bounded memory with the Space-Saving sketch
    (Metwally, Agrawal and El Abbadi, 2005). Counts are exact while the number
    of different keys between two reports does not exceed the number of
    counters. Beyond that a count is too high by at most the total divided by
    the number of counters. */
class HotKeyCounter
{
public:
  explicit HotKeyCounter(std::size_t aCounters)
    : m_counters(aCounters)
  {
  }

  /** Counts a request for a key. */
  void Count(Key aKey);

  /** Returns the counts and resets them. */
  [[nodiscard]] std::vector<KeyCount> Take();

private:
  std::size_t m_counters;
  std::vector<KeyCount> m_counts;
};

} // namespace sapphirehook

#endif
