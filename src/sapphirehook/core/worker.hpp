#ifndef SAPPHIREHOOK_CORE_WORKER_HPP
#define SAPPHIREHOOK_CORE_WORKER_HPP

#include "sapphirehook/core/time.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace sapphirehook {

/** A named thread that runs one task until it is stopped. */
class Worker
{
public:
  Worker() = default;
  ~Worker() { Stop(); }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;
  Worker(Worker&&) = delete;
  Worker& operator=(Worker&&) = delete;

  /** Starts the thread. The task returns once IsStopping is true. */
  void Start(const std::string& aName, std::function<void()> aTask);

  /** Requests the task to return and joins the thread. */
  void Stop();

  /** Sleeps for a duration, or until the worker is stopped. */
  void SleepFor(std::chrono::nanoseconds aDuration);

  [[nodiscard]] bool IsStopping() const noexcept { return m_stop.load(); }

  /** Returns a flag that becomes true when the worker is stopped. */
  [[nodiscard]] const std::atomic<bool>& StopFlag() const noexcept
  {
    return m_stop;
  }

private:
  std::atomic<bool> m_stop{ false };
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::thread m_thread;
};

} // namespace sapphirehook

#endif
