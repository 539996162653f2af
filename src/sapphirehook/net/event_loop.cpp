#include "sapphirehook/net/event_loop.hpp"

#include <utility>

namespace sapphirehook {

struct EventLoop::SignalHandler
{
  ev_signal m_signal{};
  std::function<void()> m_function;
};

namespace {

constexpr unsigned kBackend = EVBACKEND_EPOLL;
constexpr unsigned kFlags = EVFLAG_NOINOTIFY | EVFLAG_NOTIMERFD;

} // namespace

EventLoop::EventLoop()
  : m_loop(ev_loop_new(kBackend | kFlags))
{
  ev_prepare_init(&m_prepare, RunDeferred);
  m_prepare.data = this;
  ev_prepare_start(m_loop, &m_prepare);
}

EventLoop::~EventLoop()
{
  m_deferred.clear();
  m_retired.clear();
  for (const auto& handler : m_signals) {
    ev_signal_stop(m_loop, &handler->m_signal);
  }
  ev_prepare_stop(m_loop, &m_prepare);
  ev_loop_destroy(m_loop);
}

void
EventLoop::Run()
{
  ev_run(m_loop, 0);
}

void
EventLoop::Stop()
{
  ev_break(m_loop, EVBREAK_ALL);
}

void
EventLoop::Defer(std::function<void()> aFunction)
{
  m_deferred.push_back(std::move(aFunction));
}

void
EventLoop::Retire(std::shared_ptr<void> aObject)
{
  m_retired.push_back(std::move(aObject));
}

void
EventLoop::RunDeferred(struct ev_loop* /*aLoop*/,
                       ev_prepare* aPrepare,
                       int /*aEvents*/)
{
  auto& loop = *static_cast<EventLoop*>(aPrepare->data);
  while (!loop.m_deferred.empty() || !loop.m_retired.empty()) {
    const auto deferred = std::exchange(loop.m_deferred, {});
    for (const auto& function : deferred) {
      function();
    }
    const auto retired = std::exchange(loop.m_retired, {});
  }
}

void
EventLoop::OnSignal(int aNumber, std::function<void()> aFunction)
{
  auto handler = std::make_unique<SignalHandler>();
  handler->m_function = std::move(aFunction);
  ev_signal_init(
    &handler->m_signal,
    [](struct ev_loop*, ev_signal* aSignal, int) {
      static_cast<SignalHandler*>(aSignal->data)->m_function();
    },
    aNumber);
  handler->m_signal.data = handler.get();
  ev_signal_start(m_loop, &handler->m_signal);
  m_signals.push_back(std::move(handler));
}

namespace {

double
Seconds(std::chrono::nanoseconds aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

} // namespace

Timer::Timer(EventLoop& aLoop, std::function<void()> aFunction)
  : m_loop(aLoop)
  , m_function(std::move(aFunction))
{
  ev_timer_init(
    &m_timer,
    [](struct ev_loop*, ev_timer* aTimer, int) {
      static_cast<Timer*>(aTimer->data)->m_function();
    },
    0.0,
    0.0);
  m_timer.data = this;
}

Timer::~Timer()
{
  Stop();
}

void
Timer::Start(std::chrono::nanoseconds aAfter)
{
  ev_timer_stop(m_loop.Handle(), &m_timer);
  ev_timer_set(&m_timer, Seconds(aAfter), 0.0);
  ev_timer_start(m_loop.Handle(), &m_timer);
}

void
Timer::StartEvery(std::chrono::nanoseconds aSpan)
{
  ev_timer_stop(m_loop.Handle(), &m_timer);
  ev_timer_set(&m_timer, Seconds(aSpan), Seconds(aSpan));
  ev_timer_start(m_loop.Handle(), &m_timer);
}

void
Timer::Stop()
{
  ev_timer_stop(m_loop.Handle(), &m_timer);
}

SocketWatcher::SocketWatcher(EventLoop& aLoop,
                             std::function<void(int)> aFunction)
  : m_loop(aLoop)
  , m_function(std::move(aFunction))
{
  ev_io_init(
    &m_io,
    [](struct ev_loop*, ev_io* aIo, int aEvents) {
      static_cast<SocketWatcher*>(aIo->data)->m_function(aEvents);
    },
    -1,
    0);
  m_io.data = this;
}

SocketWatcher::~SocketWatcher()
{
  ev_io_stop(m_loop.Handle(), &m_io);
}

void
SocketWatcher::Watch(int aSocket, int aEvents)
{
  if (ev_is_active(&m_io) && m_io.fd == aSocket &&
      (m_io.events & (EV_READ | EV_WRITE)) == aEvents) {
    return;
  }
  ev_io_stop(m_loop.Handle(), &m_io);
  if (aEvents != 0) {
    ev_io_set(&m_io, aSocket, aEvents);
    ev_io_start(m_loop.Handle(), &m_io);
  }
}

} // namespace sapphirehook
