#include "sapphirehook/core/worker.hpp"

#include <pthread.h>

namespace sapphirehook {

void
Worker::Start(const std::string& aName, std::function<void()> aTask)
{
  m_thread = std::thread(std::move(aTask));
  constexpr std::size_t kNameLength = 15;
  pthread_setname_np(m_thread.native_handle(),
                     aName.substr(0, kNameLength).c_str());
}

void
Worker::Stop()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_wake.notify_all();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void
Worker::SleepFor(std::chrono::nanoseconds aDuration)
{
  std::unique_lock lock(m_mutex);
  m_wake.wait_for(lock, aDuration, [this] { return m_stop.load(); });
}

} // namespace sapphirehook
