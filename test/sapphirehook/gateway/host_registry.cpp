#include "sapphirehook/gateway/host_registry.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

TEST_CASE("a host's entry survives serialisation and parsing", "[gateway]")
{
  const auto entry =
    ParseHostEntry(SerializeHostEntry({ { "10.1.0.2", 7620 }, 0.25 }));
  REQUIRE(entry.ok());
  CHECK(entry->m_peers.m_host == "10.1.0.2");
  CHECK(entry->m_peers.m_port == 7620);
  CHECK(entry->m_processorShare == 0.25);
}

TEST_CASE("an entry without a processor share is accepted, a malformed one is "
          "rejected",
          "[gateway]")
{
  REQUIRE(ParseHostEntry("10.1.0.2:7620").ok());
  CHECK(ParseHostEntry("10.1.0.2:7620")->m_processorShare == 0.0);
  CHECK_FALSE(ParseHostEntry("").ok());
  CHECK_FALSE(ParseHostEntry("10.1.0.2 0.5").ok());
  CHECK_FALSE(ParseHostEntry("10.1.0.2:7620 much").ok());
  CHECK_FALSE(ParseHostEntry("10.1.0.2:7620 0.5x").ok());
}
