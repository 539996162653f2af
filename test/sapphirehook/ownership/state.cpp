#include "sapphirehook/ownership/state.hpp"

#include "sapphirehook/core/message_pack.hpp"
#include "sapphirehook/core/text.hpp"
#include "sapphirehook/ownership/directory.hpp"
#include "support/generate.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>

using namespace sapphirehook;

namespace {

constexpr std::uint64_t kPartitions = 8;
constexpr std::size_t kHistory = 120;

std::string
KeyNumber(std::uint64_t aIndex)
{
  return Concat(aIndex % 5 == 0 ? "vip" : "k", aIndex);
}

/** Reference check with plain maps over the whole history. Tracks which
    endpoints may hold each key, from the grants that dispatchers following the
    log can have issued. Does not use pruned layouts. */
class NaiveHolders
{
public:
  /** Updates the possible holders of each key: the owner that the state reports
      as settled, and all earlier holders that have not released the key. */
  void Observe(const ClusterState& aState, const Directory& aDirectory)
  {
    RemoveReleased(aState);
    for (const auto& [service, config] : aState.m_services) {
      for (std::uint64_t i = 0; i < kKeys; ++i) {
        const auto key = KeyNumber(i);
        const auto owner = aDirectory.OwnerOf(aState, service, key);
        if (owner.m_endpoint == nullptr || !owner.m_settled) {
          continue;
        }
        auto& holders = m_holders[service + "/" + key];
        const auto& endpoint = aState.m_endpoints.at(*owner.m_endpoint);
        holders[*owner.m_endpoint] = aDirectory.NewestLayout(service);
        static_cast<void>(endpoint);
        if (holders.size() > 1) {
          m_fault = service + "/" + key;
        }
      }
    }
  }

  [[nodiscard]] const std::string& Fault() const { return m_fault; }

private:
  static constexpr std::uint64_t kKeys = 40;

  /** Removes the holders that have released a key: endpoints that are down or
      removed, or that have acknowledged a newer layout without keeping the
      key's partition. */
  void RemoveReleased(const ClusterState& aState)
  {
    for (auto& [name, holders] : m_holders) {
      const auto slash = name.find('/');
      const auto service = aState.m_services.find(name.substr(0, slash));
      const auto key = name.substr(slash + 1);
      std::erase_if(holders, [&](const auto& aHolder) {
        const auto endpoint = aState.m_endpoints.find(aHolder.first);
        if (endpoint == aState.m_endpoints.end() || !endpoint->second.m_up) {
          return true;
        }
        if (endpoint->second.m_ack <= aHolder.second ||
            service == aState.m_services.end()) {
          return false;
        }
        return !Keeps(endpoint->second, service->second, key);
      });
    }
  }

  static bool Keeps(const EndpointState& aEndpoint,
                    const ServiceState& aService,
                    const std::string& aKey)
  {
    const Placement placement(aService.m_layouts.back());
    const auto packed = PackPartition(placement.PartitionOf(aKey));
    const auto& kept = aEndpoint.m_kept;
    return std::find(kept.begin(), kept.end(), packed) != kept.end();
  }

  std::map<std::string, std::map<std::string, Version>> m_holders;
  std::string m_fault;
};

/** Returns a random history of records, some repeated and some truncated. */
std::vector<std::string>
MakeHistory(unsigned aSeed, std::size_t aLength)
{
  std::mt19937 random(aSeed);
  ClusterState state;
  std::vector<std::string> history;
  std::map<std::string, std::uint64_t> sequences;
  while (history.size() < aLength) {
    const auto round = history.size();
    const HostId writer{ Concat("h", support::Draw(random, 4)), 1 };
    const Record record{ writer,
                         ++sequences[writer.m_host],
                         support::RandomBody(random, state, round) };
    auto bytes = EncodeRecord(record);
    if (support::Draw(random, 30) == 0) {
      bytes.resize(bytes.size() / 2);
    }
    const auto copies = 1 + support::Draw(random, 6) / 5;
    for (std::uint64_t i = 0; i < copies; ++i) {
      history.push_back(bytes);
      const auto decoded = DecodeRecord(bytes);
      if (decoded.ok()) {
        static_cast<void>(ApplyRecord(state, state.m_nextOffset, *decoded));
      }
    }
  }
  return history;
}

void
FoldRecord(ClusterState& aState, Offset aOffset, const std::string& aBytes)
{
  const auto record = DecodeRecord(aBytes);
  if (record.ok()) {
    static_cast<void>(ApplyRecord(aState, aOffset, *record));
  } else {
    SkipRecord(aState, aOffset);
  }
}

} // namespace

TEST_CASE("states are byte-equal regardless of the snapshot they start from",
          "[state]")
{
  CHECK(rc::check("fold", [](unsigned aSeed) {
    const auto history = MakeHistory(aSeed, kHistory);
    ClusterState whole;
    std::string snapshot;
    const auto cut = aSeed % history.size();
    for (std::size_t i = 0; i < history.size(); ++i) {
      if (i == cut) {
        snapshot = Pack(whole);
      }
      FoldRecord(whole, i, history[i]);
    }
    auto later = Unpack<ClusterState>(snapshot);
    RC_ASSERT(later.ok());
    for (std::size_t i = 0; i < history.size(); ++i) {
      FoldRecord(*later, i, history[i]);
    }
    RC_ASSERT(Pack(whole) == Pack(*later));
  }));
}

TEST_CASE("a repeated append changes nothing", "[state]")
{
  CHECK(rc::check("repeat", [](unsigned aSeed) {
    const auto history = MakeHistory(aSeed, kHistory);
    ClusterState once;
    ClusterState twice;
    Offset offset = 0;
    for (std::size_t i = 0; i < history.size(); ++i) {
      FoldRecord(once, i, history[i]);
      FoldRecord(twice, offset++, history[i]);
      FoldRecord(twice, offset++, history[i]);
    }
    twice.m_nextOffset = once.m_nextOffset;
    RC_ASSERT(Pack(once) == Pack(twice));
  }));
}

TEST_CASE("no key is settled at two endpoints at once", "[state]")
{
  std::size_t settled = 0;
  CHECK(rc::check("owners", [&](unsigned aSeed) {
    const auto history = MakeHistory(aSeed, kHistory);
    ClusterState state;
    Directory directory;
    NaiveHolders holders;
    for (std::size_t i = 0; i < history.size(); ++i) {
      FoldRecord(state, i, history[i]);
      directory.Refresh(state);
      holders.Observe(state, directory);
      RC_ASSERT(holders.Fault() == "");
    }
    for (std::uint64_t i = 0; i < kPartitions; ++i) {
      settled += directory.OwnerOf(state, "s0", KeyNumber(i)).m_settled;
    }
  }));
  CHECK(settled > 0);
}

TEST_CASE("an accepted ticket is never reverted by a lower number", "[state]")
{
  CHECK(rc::check("tickets", [](unsigned aSeed) {
    const auto history = MakeHistory(aSeed, kHistory);
    ClusterState state;
    std::map<std::string, std::uint64_t> highest;
    for (std::size_t i = 0; i < history.size(); ++i) {
      FoldRecord(state, i, history[i]);
      for (const auto& [object, number] : state.m_objectTickets) {
        RC_ASSERT(number >= highest[object]);
        highest[object] = number;
      }
    }
  }));
}

// Guards against a daemon whose records are ignored until its clock has passed
// the number of an earlier run, after a host's clock was set back.
TEST_CASE("a later run of a host counts whatever its number", "[state]")
{
  const HostId earlier{ "h", 3660 };
  const HostId later{ "h", GENERATE(1200U, 4000U) };
  const auto join = [](const HostId& aHost) {
    return Record{ aHost, 1, JoinRecord{ aHost, "r", "z", "" } };
  };
  ClusterState state;
  CHECK(ApplyRecord(state, 0, join(earlier)).ok());
  CHECK(ApplyRecord(state, 1, join(later)).ok());
  CHECK(IsMember(state, later));
  // Late records of the earlier run, repeated or new, change nothing.
  CHECK_FALSE(ApplyRecord(state, 2, join(earlier)).ok());
  CHECK_FALSE(ApplyRecord(state, 3, { earlier, 2, LeaveRecord{ later } }).ok());
  CHECK_FALSE(ApplyRecord(state, 4, join(later)).ok());
  CHECK(IsMember(state, later));
}
