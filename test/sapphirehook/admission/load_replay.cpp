#include "support/admission_replay.hpp"

#include <catch2/catch.hpp>

using namespace sapphirehook;
using namespace support;

namespace {

/** Short lookups beside downloads that can wait, on 45 endpoints. */
AdmissionLoad
LookupsAndDownloads(double aDownloadFactor, bool aDivides)
{
  AdmissionLoad load;
  KindLoad lookup;
  lookup.m_route.m_name = "lookup";
  lookup.m_route.m_kind = RequestKind::Idempotent;
  lookup.m_route.m_objective = Millis(400);
  lookup.m_route.m_timeout = Millis(1600);
  lookup.m_perSecond = 393.0;
  lookup.m_work = Millis(81);
  KindLoad download = lookup;
  download.m_route.m_name = "download";
  download.m_route.m_kind = RequestKind::Download;
  download.m_route.m_priority = 2;
  download.m_route.m_objective = Millis(2000);
  download.m_route.m_timeout = Millis(6000);
  download.m_perSecond = 211.0 * aDownloadFactor;
  download.m_work = Millis(160);
  load.m_kinds = { lookup, download };
  load.m_divides = aDivides;
  return load;
}

} // namespace

TEST_CASE("nothing is refused by the division while the load fits",
          "[admission]")
{
  const auto outcomes =
    AdmissionReplay(LookupsAndDownloads(1.0, true), 1).Run();
  for (const auto& one : outcomes) {
    CHECK(one.m_refusals * 100 <= one.m_callers);
    CHECK(one.InObjective() > 0.98);
  }
}

// Guards against downloads that fill the slots at which short lookups then
// queue behind them. Without the division 30% of the lookups meet their
// objective at 2.6 times the usual downloads, and 12% at four times.
TEST_CASE("lookups keep their objective beside too many downloads",
          "[admission]")
{
  const double factor = GENERATE(2.6, 4.0);
  const unsigned seed = GENERATE(1U, 2U, 3U);
  INFO(factor << " seed " << seed);
  const auto before =
    AdmissionReplay(LookupsAndDownloads(factor, false), seed).Run();
  const auto after =
    AdmissionReplay(LookupsAndDownloads(factor, true), seed).Run();
  INFO("lookups before " << before[0].InObjective() << " after "
                         << after[0].InObjective() << ", downloads before "
                         << before[1].InObjective() << " after "
                         << after[1].InObjective());
  CHECK(before[0].InObjective() < 0.5);
  CHECK(after[0].InObjective() > 0.85);
  CHECK(after[1].Served() > 0.5);
  for (const auto& one : after) {
    CHECK(one.EarlyRefusals() > 0.95);
  }
}
