#include "support/loopback.hpp"

#include <catch2/catch.hpp>
#include <set>

using namespace sapphirehook;

TEST_CASE("FreeAddress returns each loopback port only once", "[soak]")
{
  std::set<std::uint16_t> ports;
  constexpr std::size_t kPorts = 1000;
  for (std::size_t i = 0; i < kPorts; ++i) {
    ports.insert(support::FreeAddress().sin_port);
  }
  CHECK(ports.size() == kPorts);
}
