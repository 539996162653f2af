#include "support/loopback.hpp"

#include <arpa/inet.h>
#include <random>
#include <set>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace sapphirehook::support {

namespace {

/** Ports below those that the system gives to outgoing connections, so that
    none of these takes one between two runs of a process. */
constexpr unsigned kLowestPort = 10'000;
constexpr unsigned kPorts = 22'000;
constexpr int kMostTries = 200;

bool
CanBind(const sockaddr_in& aAddress, int aType)
{
  const int probe = socket(AF_INET, aType, 0);
  const auto* address = reinterpret_cast<const sockaddr*>(&aAddress);
  const bool bound = bind(probe, address, sizeof aAddress) == 0;
  close(probe);
  return bound;
}

} // namespace

sockaddr_in
FreeAddress()
{
  static std::mt19937 random(static_cast<unsigned>(
    getpid() + BootClock::now().time_since_epoch().count()));
  // What has been given is not given again, though it may not be in use yet.
  static std::set<std::uint16_t> given;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  for (int i = 0; i < kMostTries; ++i) {
    const auto port =
      static_cast<std::uint16_t>(kLowestPort + random() % kPorts);
    address.sin_port = htons(port);
    if (!given.contains(port) && CanBind(address, SOCK_STREAM) &&
        CanBind(address, SOCK_DGRAM)) {
      given.insert(port);
      return address;
    }
  }
  throw std::runtime_error("no free port on the loopback");
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
