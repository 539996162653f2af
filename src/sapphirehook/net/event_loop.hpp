#ifndef SAPPHIREHOOK_NET_EVENT_LOOP_HPP
#define SAPPHIREHOOK_NET_EVENT_LOOP_HPP

#include "sapphirehook/core/time.hpp"

#include <ev.h>
#include <functional>
#include <memory>
#include <vector>

namespace sapphirehook {

/** The events of one thread. Everything that belongs to a loop is used from
    its thread only. */
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

  /** Calls a function after the current round of events. */
  void Defer(std::function<void()> aFunction);

  /** Keeps an object until the current round of events has ended, so that it
      may be given up from within its own handlers. */
  void Retire(std::shared_ptr<void> aObject);

  /** Calls a function whenever the process gets a signal. */
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

/** Calls a function once after a span, or again and again. */
class Timer
{
public:
  Timer(EventLoop& aLoop, std::function<void()> aFunction);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /** Starts, or starts over. */
  void Start(std::chrono::nanoseconds aAfter);

  /** Starts to call the function once each span. */
  void StartEvery(std::chrono::nanoseconds aSpan);

  void Stop();

private:
  EventLoop& m_loop;
  std::function<void()> m_function;
  ev_timer m_timer{};
};

/** Tells when a socket can be read or written. */
class SocketWatcher
{
public:
  SocketWatcher(EventLoop& aLoop, std::function<void(int)> aFunction);
  ~SocketWatcher();
  SocketWatcher(const SocketWatcher&) = delete;
  SocketWatcher& operator=(const SocketWatcher&) = delete;

  /** Watches for EV_READ, EV_WRITE or both; none stops. */
  void Watch(int aSocket, int aEvents);

private:
  EventLoop& m_loop;
  std::function<void(int)> m_function;
  ev_io m_io{};
};

} // namespace sapphirehook

#endif
