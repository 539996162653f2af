#include "sapphirehook/ownership/layout.hpp"

#include "sapphirehook/core/hash.hpp"
#include "sapphirehook/core/text.hpp"
#include "support/generate.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace sapphirehook;

namespace {

constexpr std::uint32_t kPartitions = 64;

Layout
RandomLayout(std::mt19937& aRandom)
{
  Layout layout;
  layout.m_partitions = kPartitions;
  layout.m_domains.push_back({ "", {} });
  if (support::Draw(aRandom, 2) == 0) {
    layout.m_domains.push_back({ "vip", {} });
  }
  for (auto& domain : layout.m_domains) {
    for (int i = 10; i < 30; ++i) {
      if (support::Draw(aRandom, 2) == 0) {
        domain.m_members.push_back(
          { Concat("e", i),
            static_cast<double>(1 + support::Draw(aRandom, 2)) });
      }
    }
  }
  return layout;
}

/** Returns the owner of a partition by a full scan of the members. */
std::string
NaiveOwner(const Domain& aDomain, std::uint32_t aPartition)
{
  const auto item = MixHashes(StableHash(aDomain.m_prefix), aPartition);
  std::string owner;
  float best = -1;
  for (const auto& member : aDomain.m_members) {
    const auto score = static_cast<float>(
      RendezvousScore(item, StableHash(member.m_endpoint), member.m_weight));
    if (score > best) {
      best = score;
      owner = member.m_endpoint;
    }
  }
  return owner;
}

std::string
OwnerText(const Placement& aPlacement, PartitionId aPartition)
{
  const auto* owner = aPlacement.OwnerOf(aPartition);
  return owner == nullptr ? std::string() : *owner;
}

} // namespace

TEST_CASE(
  "owners agree with a full scan, computed from scratch or incrementally",
  "[layout]")
{
  CHECK(rc::check("placement", [](unsigned aSeed) {
    std::mt19937 random(aSeed);
    Placement chained(RandomLayout(random));
    for (int step = 0; step < 6; ++step) {
      const auto layout = RandomLayout(random);
      const Placement whole(layout);
      chained = Placement(layout, chained);
      for (std::uint32_t d = 0; d < layout.m_domains.size(); ++d) {
        for (std::uint32_t p = 0; p < kPartitions; ++p) {
          const auto expected = NaiveOwner(layout.m_domains[d], p);
          RC_ASSERT(OwnerText(whole, { d, p }) == expected);
          RC_ASSERT(OwnerText(chained, { d, p }) == expected);
        }
      }
    }
  }));
}

TEST_CASE("only the partitions of a removed endpoint change owner", "[layout]")
{
  CHECK(rc::check("churn", [](unsigned aSeed) {
    std::mt19937 random(aSeed);
    auto layout = RandomLayout(random);
    auto& members = layout.m_domains.front().m_members;
    RC_PRE(members.size() > 1);
    const Placement before(layout);
    const auto left = support::Draw(random, members.size());
    const auto name = members[left].m_endpoint;
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(left));
    const Placement after(layout);
    for (std::uint32_t p = 0; p < kPartitions; ++p) {
      const auto owner = OwnerText(before, { 0, p });
      if (owner != name) {
        RC_ASSERT(OwnerText(after, { 0, p }) == owner);
      }
    }
  }));
}

TEST_CASE("the longest matching prefix determines a key's domain", "[layout]")
{
  Layout layout;
  layout.m_partitions = kPartitions;
  layout.m_domains = { { "", { { "a", 1 } } },
                       { "vip", { { "b", 1 } } },
                       { "vip-gold", { { "c", 1 } } } };
  layout.m_pins["vip-gold-1"] = "a";
  const Placement placement(layout);
  CHECK(*placement.OwnerOfKey("other") == "a");
  CHECK(*placement.OwnerOfKey("vip-1") == "b");
  CHECK(*placement.OwnerOfKey("vip-gold-2") == "c");
  CHECK(*placement.OwnerOfKey("vip-gold-1") == "a");
}
