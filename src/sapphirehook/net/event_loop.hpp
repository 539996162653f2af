#ifndef SAPPHIREHOOK_NET_EVENT_LOOP_HPP
#define SAPPHIREHOOK_NET_EVENT_LOOP_HPP

#include "sapphirehook/core/time.hpp"

#include <ev.h>
#include <functional>
#include <memory>
#include <vector>

namespace sapphirehook {

/** Event loop of one thread, over libev. The loop and the objects that use it
    are accessed from its thread only. */
class EventLoop
{
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Handles events until Stop is called. */
  void Run();

  void Stop();

  /** Calls a function after the current loop iteration. */
  void Defer(std::function<void()> aFunction);

  /** Holds a reference to an object until the current loop iteration ends, so
      that the object's own handlers may release it. */
  void Retire(std::shared_ptr<void> aObject);

  /** Calls a function whenever the process receives a signal. */
  void OnSignal(int aNumber, std::function<void()> aFunction);

  [[nodiscard]] struct ev_loop* Handle() const noexcept { return m_loop; }

private:
  struct SignalHandler;

  static void RunDeferred(struct ev_loop* aLoop,
                          ev_prepare* aPrepare,
                          int aEvents);

  struct ev_loop* m_loop;
  ev_prepare m_prepare{};
  std::vector<std::function<void()>> m_deferred;
  std::vector<std::shared_ptr<void>> m_retired;
  std::vector<std::unique_ptr<SignalHandler>> m_signals;
};

/** Calls a function once after a delay, or periodically. */
class Timer
{
public:
  Timer(EventLoop& aLoop, std::function<void()> aFunction);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /** Starts or restarts the timer for one call. */
  void Start(std::chrono::nanoseconds aAfter);

  /** Starts or restarts the timer for periodic calls. */
  void StartEvery(std::chrono::nanoseconds aSpan);

  void Stop();

private:
  EventLoop& m_loop;
  std::function<void()> m_function;
  ev_timer m_timer{};
};

/** Calls a function when a socket is readable or writable. */
class SocketWatcher
{
public:
  SocketWatcher(EventLoop& aLoop, std::function<void(int)> aFunction);
  ~SocketWatcher();
  SocketWatcher(const SocketWatcher&) = delete;
  SocketWatcher& operator=(const SocketWatcher&) = delete;

  /** Watches a socket for EV_READ, EV_WRITE or both; 0 stops watching. */
  void Watch(int aSocket, int aEvents);

private:
  EventLoop& m_loop;
  std::function<void(int)> m_function;
  ev_io m_io{};
};

} // namespace sapphirehook

#endif
