#ifndef SAPPHIREHOOK_DISPATCH_REPEAT_WINDOW_HPP
#define SAPPHIREHOOK_DISPATCH_REPEAT_WINDOW_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace sapphirehook {

/** State of the first request with an idempotency key. */
enum class RepeatState : unsigned char
{
  InProgress,
  Done,
  Unknown,
};

/** Idempotency keys of the most recent never-repeat requests of one
    dispatcher. */
class RepeatWindow
{
public:
  explicit RepeatWindow(std::size_t aCapacity)
    : m_capacity(aCapacity)
  {
  }

  /** Admits a request with a new key and returns nothing. If the key is already
      known, returns the state of the first request. */
  [[nodiscard]] std::optional<RepeatState> Admit(const std::string& aKey);

  /** Records the final state of the request with a key. */
  void OnEnded(const std::string& aKey, RepeatState aState);

  /** Removes a key whose request did not run. */
  void Forget(const std::string& aKey);

  [[nodiscard]] std::size_t Size() const noexcept { return m_states.size(); }

private:
  struct Entry
  {
    RepeatState m_state = RepeatState::InProgress;
    std::uint64_t m_number = 0;
  };

  struct OrderEntry
  {
    std::string m_key;
    std::uint64_t m_number = 0;
  };

  void EvictOldest();

  std::size_t m_capacity;
  std::uint64_t m_lastNumber = 0;
  std::map<std::string, Entry> m_states;
  std::deque<OrderEntry> m_order;
};

} // namespace sapphirehook

#endif
