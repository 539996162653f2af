#include "sapphirehook/core/log_budget.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

TEST_CASE("a flood of events does not suppress state lines", "[core]")
{
  LogBudget budget;
  static_cast<void>(budget.BeginSecond(Millis(5000)));
  unsigned written = 0;
  for (int i = 0; i < 1000; ++i) {
    written += budget.TryTake(LogPriority::Event) ? 1 : 0;
  }
  CHECK(budget.TryTake(LogPriority::State));
  for (int i = 0; i < 1000; ++i) {
    written += budget.TryTake(LogPriority::Routine) ? 1 : 0;
    written += budget.TryTake(LogPriority::State) ? 1 : 0;
  }
  CHECK(written < 400);
  CHECK_FALSE(budget.BeginSecond(Millis(5999)));
  CHECK_FALSE(budget.TryTake(LogPriority::State));
  CHECK(budget.BeginSecond(Millis(6000)));
  CHECK(budget.TryTake(LogPriority::Event));
}

TEST_CASE("routine lines are dropped first", "[core]")
{
  LogBudget budget;
  static_cast<void>(budget.BeginSecond(Millis(5000)));
  unsigned routine = 0;
  for (int i = 0; i < 100; ++i) {
    routine += budget.TryTake(LogPriority::Routine) ? 1 : 0;
  }
  CHECK(routine == 20);
  CHECK(budget.TryTake(LogPriority::Event));
}
