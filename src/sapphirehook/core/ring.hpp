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

/** File descriptor that becomes readable when its thread has work to do. */
class Waker
{
public:
  /** Opens the descriptor; ends the process when none can be had. */
  Waker();
  ~Waker();
  Waker(const Waker&) = delete;
  Waker& operator=(const Waker&) = delete;
  Waker(Waker&&) = delete;
  Waker& operator=(Waker&&) = delete;

  /** Makes the descriptor readable. Callable from any thread. */
  void Wake() noexcept;

  /** Makes the descriptor unreadable again. */
  void Clear() noexcept;

  /** Returns the descriptor, for poll and its kin. */
  [[nodiscard]] int Descriptor() const noexcept { return m_descriptor; }

private:
  int m_descriptor;
};

/** Bounded queue from one producer thread to one consumer thread. */
template<typename Type>
class Ring
{
public:
  /** Makes a ring of the given capacity whose consumer is woken by aWake. */
  Ring(std::size_t aCapacity, std::function<void()> aWake)
    : m_queue(aCapacity)
    , m_wake(std::move(aWake))
  {
  }

  /** Adds an element and wakes the consumer. Returns false, and counts the
      refusal, when the ring is full. */
  [[nodiscard]] bool Push(const Type& aElement)
  {
    if (!m_queue.push(aElement)) {
      m_refused.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    m_wake();
    return true;
  }

  /** Removes the oldest element, or returns nothing when there is none. */
  [[nodiscard]] std::optional<Type> Pop()
  {
    Type element;
    if (!m_queue.pop(element)) {
      return std::nullopt;
    }
    return element;
  }

  /** Returns how many elements were refused since the start. */
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
