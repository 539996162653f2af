#include "sapphirehook/gossip/gossip.hpp"

#include "support/loopback.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

struct Daemon
{
  Daemon(EventLoop& aLoop, HostId aSelf)
    : m_address(support::FreeAddress())
    , m_gossip(aLoop,
               std::move(aSelf),
               [this](const HostId& aFrom, const GossipMessage&) {
                 m_heard.push_back(aFrom.m_incarnation);
               })
  {
    REQUIRE(m_gossip.Bind(m_address));
  }

  std::vector<std::uint64_t> m_heard;
  sockaddr_in m_address;
  Gossip m_gossip;
};

} // namespace

// Guards against deafness after a clock step: a daemon that restarted while its
// clock was ahead, and again once the clock had been set back, was not heard.
TEST_CASE("a later run of a host is heard whatever its number", "[gossip]")
{
  EventLoop loop;
  Daemon listener(loop, { "a", 1 });
  Daemon earlier(loop, { "b", 3660 });
  Daemon later(loop, { "b", 1200 });
  const auto send = [&](Daemon& aFrom) {
    aFrom.m_gossip.AddPeer("a", listener.m_address);
    aFrom.m_gossip.SendTo("a", Resignation{ 1, 0 });
    support::RunFor(loop, Millis(20));
  };
  send(earlier);
  send(later);
  CHECK(listener.m_heard == std::vector<std::uint64_t>{ 3660, 1200 });
  // A message of the ended run arrives late.
  send(earlier);
  CHECK(listener.m_heard.size() == 2);
  send(later);
  CHECK(listener.m_heard.size() == 3);
}
