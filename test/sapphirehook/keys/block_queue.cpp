#include "sapphirehook/keys/block_queue.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

TEST_CASE("requests for all blocks at once are served at a limited rate",
          "[keys]")
{
  constexpr double kRate = 1e6;            // bytes per second
  constexpr std::size_t kBlockSize = 2000; // bytes
  BlockQueue queue(kRate);
  TimePoint now = TimePoint{} + Millis(1000);
  for (int host = 0; host < 80; ++host) {
    for (unsigned block = 0; block < 16; ++block) {
      queue.Add({ "h" + std::to_string(host), "s", block });
    }
  }
  std::size_t sent = 0;
  std::size_t sentBlocks = 0;
  const TimePoint begin = now;
  for (; !queue.IsEmpty(); now += Millis(10)) {
    while (queue.TakeNext(now)) {
      queue.OnSent(kBlockSize);
      sent += kBlockSize;
      ++sentBlocks;
    }
    const std::chrono::duration<double> passed = now - begin;
    // The allowance is the budget accumulated while idle, plus one block that
    // starts before the budget is used up.
    CHECK(static_cast<double>(sent) <=
          kRate * (passed.count() + 0.05) + kBlockSize);
  }
  CHECK(sentBlocks == 80 * 16);
  CHECK(now - begin < Millis(2700));
}

TEST_CASE("a block that is already queued is not sent twice", "[keys]")
{
  BlockQueue queue(1e6);
  queue.Add({ "h", "s", 1 });
  queue.Add({ "h", "s", 1 });
  queue.Add({ "h", "s", 2 });
  const TimePoint now = TimePoint{} + Millis(1000);
  CHECK(queue.TakeNext(now)->m_block == 1);
  CHECK(queue.TakeNext(now)->m_block == 2);
  CHECK_FALSE(queue.TakeNext(now));
  queue.Add({ "h", "s", 1 });
  CHECK(queue.TakeNext(now)->m_block == 1);
}
