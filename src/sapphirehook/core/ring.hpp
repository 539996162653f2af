#ifndef SAPPHIREHOOK_CORE_RING_HPP
#define SAPPHIREHOOK_CORE_RING_HPP

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

namespace sapphirehook {

/** Event descriptor (eventfd) that wakes the thread that polls it. */
class Waker
{
public:
  /** Opens the descriptor. Aborts the process if that fails. */
  Waker();
  ~Waker();
  Waker(const Waker&) = delete;
  Waker& operator=(const Waker&) = delete;
  Waker(Waker&&) = delete;
  Waker& operator=(Waker&&) = delete;

  /** Makes the descriptor readable. Safe to call from any thread. */
  void Wake() noexcept;

  /** Makes the descriptor unreadable again. */
  void Clear() noexcept;

  /** Returns the descriptor to poll for readability. */
  [[nodiscard]] int Descriptor() const noexcept { return m_descriptor; }

private:
  int m_descriptor;
};

/** Bounded lock-free queue from one producer thread to one consumer thread. */
template<typename Type>
class Ring
{
public:
  /** Creates a ring with a capacity; aWake wakes its consumer. */
  Ring(std::size_t aCapacity, std::function<void()> aWake)
    : m_queue(aCapacity)
    , m_wake(std::move(aWake))
  {
  }

  /** Adds an element and wakes the consumer. If the ring is full, counts a
      refusal and returns false. */
  [[nodiscard]] bool Push(const Type& aElement)
  {
    if (!m_queue.push(aElement)) {
      m_refused.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    m_wake();
    return true;
  }

  /** Removes and returns the oldest element; nothing if the ring is empty. */
  [[nodiscard]] std::optional<Type> Pop()
  {
    Type element;
    if (!m_queue.pop(element)) {
      return std::nullopt;
    }
    return element;
  }

  /** Returns the number of refused elements since the start. */
  [[nodiscard]] std::uint64_t Refused() const noexcept
  {
    return m_refused.load(std::memory_order_relaxed);
  }

private:
  boost::lockfree::spsc_queue<Type> m_queue;
  std::function<void()> m_wake;
  std::atomic<std::uint64_t> m_refused{ 0 };
};

} // namespace sapphirehook

#endif
