#include "sapphirehook/core/memory_budget.hpp"

#include <catch2/catch.hpp>
#include <vector>

using namespace sapphirehook;

// Guards against connections that are each within their limit and exceed the
// memory of the host together.
TEST_CASE("the limit of a connection shrinks as the budget fills", "[core]")
{
  const auto budget = std::make_shared<MemoryBudget>(std::size_t{ 1'000'000 });
  CHECK(budget->ConnectionLimit(100'000) == 100'000);
  std::vector<std::unique_ptr<BudgetedBytes>> buffers;
  std::size_t last = 100'000;
  for (int i = 0; i < 1000; ++i) {
    buffers.push_back(std::make_unique<BudgetedBytes>(budget));
    const auto limit = budget->ConnectionLimit(100'000);
    CHECK(limit <= last);
    last = limit;
    buffers.back()->Set(limit);
  }
  // The smallest limits are needed to make progress at all.
  CHECK(budget->Used() < 1'000'000 + 1000 * 100'000 / 16);
  CHECK_FALSE(budget->HasRoomForBody());
  buffers.clear();
  CHECK(budget->Used() == 0);
  CHECK(budget->HasRoomForBody());
}
