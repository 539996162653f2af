#include "support/loopback.hpp"

#include <arpa/inet.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace sapphirehook::support {

sockaddr_in
FreeAddress()
{
  const int probe = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  if (bind(probe, reinterpret_cast<sockaddr*>(&address), size) != 0) {
    throw std::runtime_error("no free port on the loopback");
  }
  getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size);
  close(probe);
  return address;
}

bool
RunUntil(EventLoop& aLoop, const std::function<bool()>& aCondition, Millis aFor)
{
  constexpr Millis kLookEvery{ 2 };
  const TimePoint end = BootClock::now() + aFor;
  bool held = false;
  Timer timer(aLoop, [&] {
    held = aCondition();
    if (held || BootClock::now() >= end) {
      aLoop.Stop();
    }
  });
  timer.StartEvery(kLookEvery);
  aLoop.Run();
  return held;
}

void
RunFor(EventLoop& aLoop, Millis aFor)
{
  static_cast<void>(RunUntil(
    aLoop, [] { return false; }, aFor));
}

} // namespace sapphirehook::support
