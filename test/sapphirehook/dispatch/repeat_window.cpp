#include "sapphirehook/dispatch/repeat_window.hpp"

#include "support/generate.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace sapphirehook;

TEST_CASE("a key is admitted once while the window contains it", "[repeat]")
{
  RepeatWindow window(100);
  CHECK_FALSE(window.Admit("a"));
  CHECK(window.Admit("a") == RepeatState::InProgress);
  window.OnEnded("a", RepeatState::Done);
  CHECK(window.Admit("a") == RepeatState::Done);
  window.Forget("a");
  CHECK_FALSE(window.Admit("a"));
}

TEST_CASE("the window is bounded and never evicts a request in progress",
          "[repeat]")
{
  CHECK(rc::check("window", [](unsigned aSeed) {
    constexpr std::size_t kCapacity = 16;
    std::mt19937 random(aSeed);
    RepeatWindow window(kCapacity);
    std::map<std::string, bool> inProgress;
    for (int i = 0; i < 500; ++i) {
      const auto key = std::to_string(support::Draw(random, 40));
      const auto choice = support::Draw(random, 3);
      if (choice == 0) {
        const bool admitted = !window.Admit(key);
        RC_ASSERT(!(admitted && inProgress[key]));
        inProgress[key] = inProgress[key] || admitted;
      } else if (choice == 1) {
        window.OnEnded(key, RepeatState::Done);
        inProgress[key] = false;
      } else if (!inProgress[key]) {
        window.Forget(key);
      }
      std::size_t open = 0;
      for (const auto& [name, progressing] : inProgress) {
        open += progressing ? 1 : 0;
      }
      RC_ASSERT(window.Size() <= std::max(kCapacity, open + 1));
    }
  }));
}
