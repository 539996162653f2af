#ifndef SAPPHIREHOOK_SOAK_DELAYED_CALLS_HPP
#define SAPPHIREHOOK_SOAK_DELAYED_CALLS_HPP

#include "sapphirehook/net/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace sapphirehook::soak {

/** Calls functions once after a delay. */
class DelayedCalls
{
public:
  explicit DelayedCalls(EventLoop& aLoop)
    : m_loop(aLoop)
  {
  }

  void After(std::chrono::nanoseconds aDelay, std::function<void()> aFunction)
  {
    const auto id = ++m_lastId;
    auto timer = std::make_unique<Timer>(
      m_loop, [this, id, function = std::move(aFunction)] {
        function();
        m_loop.Defer([this, id] { m_timers.erase(id); });
      });
    timer->Start(aDelay);
    m_timers.emplace(id, std::move(timer));
  }

private:
  EventLoop& m_loop;
  std::uint64_t m_lastId = 0;
  std::map<std::uint64_t, std::unique_ptr<Timer>> m_timers;
};

} // namespace sapphirehook::soak

#endif
