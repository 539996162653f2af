#ifndef SAPPHIREHOOK_SOAK_DELAYED_CALLS_HPP
#define SAPPHIREHOOK_SOAK_DELAYED_CALLS_HPP

#include "sapphirehook/net/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace sapphirehook::soak {

/** Functions that are called once, later. */
class DelayedCalls
{
public:
  explicit DelayedCalls(EventLoop& aLoop)
    : m_loop(aLoop)
  {
  }

  void After(std::chrono::nanoseconds aSpan, std::function<void()> aFunction)
  {
    const auto id = ++m_lastId;
    auto timer = std::make_unique<Timer>(
      m_loop, [this, id, function = std::move(aFunction)] {
        function();
        m_loop.Defer([this, id] { m_timers.erase(id); });
      });
    timer->Start(aSpan);
    m_timers.emplace(id, std::move(timer));
  }

private:
  EventLoop& m_loop;
  std::uint64_t m_lastId = 0;
  std::map<std::uint64_t, std::unique_ptr<Timer>> m_timers;
};

} // namespace sapphirehook::soak

#endif
