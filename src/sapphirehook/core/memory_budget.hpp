#ifndef SAPPHIREHOOK_CORE_MEMORY_BUDGET_HPP
#define SAPPHIREHOOK_CORE_MEMORY_BUDGET_HPP

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

namespace sapphirehook {

/** Limit of the bytes that a daemon buffers for peers that read slowly, over
    all connections.

    Load pattern: many large uploads to slow endpoints, or large answers to slow
    callers, at the same time. Each connection alone is within its limit, and
    together they would exceed the memory of the host. So the limit of each
    connection shrinks as the budget fills: senders are slowed down first. New
    large bodies are rejected before the rest of the budget is used, because
    that rest is needed to finish the requests in progress. */
class MemoryBudget
{
public:
  explicit MemoryBudget(std::size_t aLimit) noexcept
    : m_limit(std::max<std::size_t>(aLimit, 1))
  {
  }

  void Add(std::size_t aBytes) noexcept { m_used += aBytes; }
  void Remove(std::size_t aBytes) noexcept
  {
    m_used -= std::min(aBytes, m_used);
  }

  [[nodiscard]] std::size_t Used() const noexcept { return m_used; }

  /** Returns how many bytes one connection may buffer. It is aUsual while less
      than half of the budget is used, and falls to a sixteenth of it as the
      budget is used up. */
  [[nodiscard]] std::size_t ConnectionLimit(std::size_t aUsual) const noexcept
  {
    const std::size_t half = m_limit / 2;
    if (m_used <= half) {
      return aUsual;
    }
    const std::size_t left = m_limit - std::min(m_used, m_limit);
    const double share =
      static_cast<double>(left) / static_cast<double>(m_limit - half);
    const auto shrunk =
      static_cast<std::size_t>(share * static_cast<double>(aUsual));
    return std::max(shrunk, aUsual / kMinShareDivisor);
  }

  /** Returns whether another large body may be accepted. */
  [[nodiscard]] bool HasRoomForBody() const noexcept
  {
    return m_used < m_limit / 4 * 3;
  }

private:
  static constexpr std::size_t kMinShareDivisor = 16;

  std::size_t m_limit;
  std::size_t m_used = 0;
};

/** The part of a budget that one buffer uses. Without a budget it counts
    nothing. */
class BudgetedBytes
{
public:
  BudgetedBytes() = default;
  explicit BudgetedBytes(std::shared_ptr<MemoryBudget> aBudget) noexcept
    : m_budget(std::move(aBudget))
  {
  }
  BudgetedBytes(const BudgetedBytes&) = delete;
  BudgetedBytes& operator=(const BudgetedBytes&) = delete;
  ~BudgetedBytes() { Set(0); }

  /** Sets the budget before the first use. */
  void Attach(std::shared_ptr<MemoryBudget> aBudget) noexcept
  {
    Set(0);
    m_budget = std::move(aBudget);
  }

  /** Sets the current size of the buffer in bytes. */
  void Set(std::size_t aBytes) noexcept
  {
    if (m_budget) {
      m_budget->Add(aBytes);
      m_budget->Remove(std::exchange(m_bytes, aBytes));
    }
  }

  [[nodiscard]] const MemoryBudget* Budget() const noexcept
  {
    return m_budget.get();
  }

private:
  std::shared_ptr<MemoryBudget> m_budget;
  std::size_t m_bytes = 0;
};

} // namespace sapphirehook

#endif
