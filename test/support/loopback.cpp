#include "support/loopback.hpp"

#include <arpa/inet.h>
#include <random>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace sapphirehook::support {

namespace {

/** Ports below the ephemeral range of the system, so that no outgoing
   connection takes one of them between two runs of a process. */
constexpr unsigned kLowestPort = 10'000;
constexpr unsigned kPorts = 22'000;
/** Number of consecutive ports that a process reserves at once. */
constexpr unsigned kSlice = 200;
constexpr int kMaxTries = 1000;

bool
CanBind(const sockaddr_in& aAddress, int aType)
{
  const int probe = socket(AF_INET, aType, 0);
  const auto* address = reinterpret_cast<const sockaddr*>(&aAddress);
  const bool bound = bind(probe, address, sizeof aAddress) == 0;
  close(probe);
  return bound;
}

/** Binds the first port of a slice of ports for the lifetime of this process,
   so that no other process uses ports of the slice. Returns that port, or 0 if
   the slice is taken. */
std::uint16_t
TakeSlice(unsigned aSlice)
{
  const auto first = static_cast<std::uint16_t>(kLowestPort + aSlice * kSlice);
  const auto address = Loopback(first);
  const int held = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto* raw = reinterpret_cast<const sockaddr*>(&address);
  if (bind(held, raw, sizeof address) != 0) {
    close(held);
    return 0;
  }
  return first;
}

} // namespace

sockaddr_in
Loopback(std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  return address;
}

sockaddr_in
FreeAddress()
{
  static std::mt19937 random(static_cast<unsigned>(
    getpid() + BootClock::now().time_since_epoch().count()));
  static std::uint16_t next = 0;
  static std::uint16_t end = 0;
  for (int i = 0; i < kMaxTries; ++i) {
    if (next == end) {
      if (const auto first = TakeSlice(random() % (kPorts / kSlice))) {
        next = static_cast<std::uint16_t>(first + 1);
        end = static_cast<std::uint16_t>(first + kSlice);
      }
      continue;
    }
    const auto address = Loopback(next++);
    if (CanBind(address, SOCK_STREAM) && CanBind(address, SOCK_DGRAM)) {
      return address;
    }
  }
  throw std::runtime_error("found no free port on the loopback interface");
}

bool
RunUntil(EventLoop& aLoop, const std::function<bool()>& aCondition, Millis aFor)
{
  constexpr Millis kPollInterval{ 2 };
  const TimePoint end = BootClock::now() + aFor;
  bool held = false;
  Timer timer(aLoop, [&] {
    held = aCondition();
    if (held || BootClock::now() >= end) {
      aLoop.Stop();
    }
  });
  timer.StartEvery(kPollInterval);
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
