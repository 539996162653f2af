#include "sapphirehook/discovery/endpoint_directory.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;

namespace {

constexpr TimePoint
At(int aMillis)
{
  return TimePoint(Millis(aMillis));
}

EndpointRecord
Record(std::int64_t aStartedAt, bool aDraining)
{
  EndpointRecord record;
  record.m_incarnation = { "e", aStartedAt };
  record.m_service = "s";
  record.m_slots = 6;
  record.m_draining = aDraining;
  return record;
}

bool
Usable(const EndpointDirectory& aDirectory, int aMillis)
{
  const auto* known = aDirectory.Find("e");
  return known != nullptr && aDirectory.IsUsable(At(aMillis), *known);
}

} // namespace

TEST_CASE("a draining endpoint is not usable", "[discovery]")
{
  EndpointDirectory directory(Millis(1600));
  directory.OnRecord(At(0), Record(1, false));
  CHECK(Usable(directory, 0));
  directory.OnRecord(At(10), Record(1, true));
  CHECK_FALSE(Usable(directory, 10));
  SECTION("also after a delayed older record")
  {
    directory.OnRecord(At(20), Record(1, false));
    CHECK_FALSE(Usable(directory, 20));
  }
  SECTION("until the endpoint restarts")
  {
    directory.OnRecord(At(20), Record(2, false));
    CHECK(Usable(directory, 20));
    directory.OnRecord(At(30), Record(1, true));
    CHECK(Usable(directory, 30));
  }
}

TEST_CASE(
  "a removal takes effect at once, or after the grace period around an outage",
  "[discovery]")
{
  EndpointDirectory directory(Millis(1600));
  directory.OnRecord(At(0), Record(1, false));
  SECTION("without an outage")
  {
    directory.OnRemoved(At(10), "e", std::nullopt);
    CHECK_FALSE(Usable(directory, 10));
  }
  SECTION("as a lapse after which the endpoint returns")
  {
    directory.OnRemoved(At(10), "e", At(10));
    CHECK(Usable(directory, 1609));
    directory.OnRecord(At(1000), Record(1, false));
    CHECK(Usable(directory, 5000));
  }
  SECTION("as a lapse after which the endpoint does not return")
  {
    directory.OnRemoved(At(10), "e", At(10));
    CHECK_FALSE(Usable(directory, 1610));
  }
  SECTION("as a lapse reported late")
  {
    directory.OnRemoved(At(600), "e", At(10));
    CHECK(Usable(directory, 1609));
    CHECK_FALSE(Usable(directory, 1610));
  }
  SECTION("as a lapse reported after the grace period")
  {
    directory.OnRemoved(At(3000), "e", At(10));
    CHECK_FALSE(Usable(directory, 3000));
  }
  SECTION("of a draining endpoint")
  {
    directory.OnRecord(At(5), Record(1, true));
    directory.OnRemoved(At(10), "e", At(10));
    CHECK_FALSE(Usable(directory, 10));
  }
}

// Guards against full load on a running endpoint that turns cold.
TEST_CASE("a rise of the time for which an endpoint stays cold is a change",
          "[discovery][cold]")
{
  EndpointDirectory directory(Millis(1600));
  auto record = Record(1, false);
  directory.OnRecord(At(0), record);
  CHECK_FALSE(directory.OnRecord(At(10), record));
  record.m_warmUpLeft = Millis(800);
  CHECK(directory.OnRecord(At(20), record));
  CHECK(directory.Find("e")->m_warmAt == At(820));
  CHECK(directory.Find("e")->m_coldSince == At(20));
  record.m_warmUpLeft = Millis(700);
  CHECK_FALSE(directory.OnRecord(At(120), record));
  CHECK(directory.Find("e")->m_coldSince == At(20));
  record.m_warmUpLeft = Millis(500);
  CHECK(directory.OnRecord(At(900), record));
  CHECK(directory.Find("e")->m_coldSince == At(900));
}

// Guards against work for an evacuated zone, and against a zone that stays
// evacuated or returns at full load.
TEST_CASE("endpoints of an evacuated zone are not usable until it returns",
          "[discovery][evacuation]")
{
  EndpointDirectory directory(Millis(1600));
  auto record = Record(1, false);
  record.m_zone = "z1";
  CHECK(directory.BeginEvacuation("z2", At(1)));
  directory.OnRecord(At(5), record);
  CHECK(Usable(directory, 5));
  CHECK(directory.BeginEvacuation("z1", At(10)));
  CHECK_FALSE(directory.BeginEvacuation("z1", At(20)));
  CHECK_FALSE(Usable(directory, 20));
  const auto& known = *directory.Find("e");
  CHECK(directory.EvacuatedSince(known) == At(10));
  CHECK(directory.IsUsableApartFromZone(At(20), known));
  SECTION("also an incarnation that starts during the evacuation")
  {
    record.m_incarnation.m_startedAt = 2;
    directory.OnRecord(At(30), record);
    CHECK_FALSE(Usable(directory, 30));
  }
  SECTION("a draining endpoint stays unusable")
  {
    record.m_draining = true;
    directory.OnRecord(At(30), record);
    CHECK_FALSE(directory.IsUsableApartFromZone(At(30), known));
    directory.EndEvacuation(At(40), "z1");
    CHECK_FALSE(Usable(directory, 40));
  }
  SECTION("the return of the zone")
  {
    CHECK(directory.EndEvacuation(At(40), "z1"));
    CHECK_FALSE(directory.EndEvacuation(At(41), "z1"));
    CHECK(Usable(directory, 40));
    CHECK(directory.Find("e")->m_returnedAt == At(40));
    CHECK(directory.Evacuations().size() == 1);
  }
}

TEST_CASE("a removed endpoint that a restored store lists again gets no work "
          "before its owner has confirmed the entry",
          "[discovery]")
{
  // Guards against requests to an endpoint that has left: the copy that the
  // store was restored from still contains its entry.
  EndpointDirectory directory(Millis(1600));
  directory.OnRecord(At(0), Record(1, false));
  directory.OnRemoved(At(100), "e", std::nullopt);
  CHECK(directory.OnRecord(At(1000), Record(1, false), At(3000)));
  CHECK_FALSE(Usable(directory, 1000));
  SECTION("its entry lapses")
  {
    directory.OnRemoved(At(2500), "e", At(1000));
    directory.ConfirmListed(At(3000));
    CHECK_FALSE(Usable(directory, 3000));
  }
  SECTION("its owner has renewed the entry")
  {
    directory.ConfirmListed(At(2999));
    CHECK_FALSE(Usable(directory, 2999));
    directory.ConfirmListed(At(3000));
    CHECK(Usable(directory, 3000));
  }
  SECTION("its owner writes it again in the new era")
  {
    directory.OnRecord(At(1500), Record(1, false));
    CHECK(Usable(directory, 1500));
  }
  SECTION("a later incarnation writes an entry before the store is read")
  {
    directory.OnRecord(At(1500), Record(2, false), At(3000));
    CHECK(Usable(directory, 1500));
  }
  SECTION("it drains in the meantime")
  {
    directory.OnRecord(At(1200), Record(1, true), At(3000));
    directory.ConfirmListed(At(3000));
    CHECK_FALSE(Usable(directory, 3000));
  }
  SECTION("the store is restored again")
  {
    directory.OnRecord(At(1800), Record(1, false), At(3800));
    directory.ConfirmListed(At(3000));
    CHECK_FALSE(Usable(directory, 3000));
  }
}

TEST_CASE("an endpoint that has drained stays so after a restore",
          "[discovery]")
{
  // Guards against an older record of the same incarnation in the copy.
  EndpointDirectory directory(Millis(1600));
  directory.OnRecord(At(0), Record(1, true));
  directory.OnRecord(At(100), Record(1, false), At(3000));
  CHECK_FALSE(Usable(directory, 100));
  directory.OnRemoved(At(200), "e", At(100));
  directory.OnRecord(At(300), Record(1, false));
  CHECK_FALSE(Usable(directory, 300));
}
