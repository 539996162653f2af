#include "sapphirehook/core/ring.hpp"

#include <cstdlib>
#include <sys/eventfd.h>
#include <unistd.h>

namespace sapphirehook {

Waker::Waker()
  : m_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
  if (m_descriptor < 0) {
    std::abort();
  }
}

Waker::~Waker()
{
  close(m_descriptor);
}

void
Waker::Wake() noexcept
{
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto written = write(m_descriptor, &one, sizeof(one));
}

void
Waker::Clear() noexcept
{
  std::uint64_t count = 0;
  [[maybe_unused]] const auto taken = read(m_descriptor, &count, sizeof(count));
}

} // namespace sapphirehook
