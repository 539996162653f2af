#include "soak/schedule.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace sapphirehook::soak {

namespace {

constexpr std::array<std::string_view, kFaultKinds> kNames{
  "gateway-kill",
  "gateway-stop",
  "gateway-freeze",
  "gateway-reload",
  "all-gateways-kill",
  "endpoint-kill",
  "endpoint-freeze",
  "endpoint-replace",
  "endpoint-fails",
  "endpoint-cuts-answers",
  "endpoint-mute",
  "endpoint-slow",
  "endpoint-late-grants",
  "store-busy",
  "store-silent",
  "store-resets",
  "store-slow",
  "store-loses-answers",
  "store-late-appends",
  "store-forgets",
  "store-link-cut",
  "store-link-silent",
  "store-link-one-way",
  "endpoint-link-delayed",
  "endpoint-link-reset",
  "endpoint-link-silent",
  "endpoint-link-one-way",
  "peers-cut",
  "peers-lossy",
  "config-change",
  "store-restored"
};

/** Mean time between two faults. */
constexpr int kMeanIntervalMs = 900;
/** Mean time between two restores of the store. */
constexpr int kMeanRestoreIntervalMs = 5'000;
/** Range of fault durations. */
constexpr int kMinDurationMs = 200;
constexpr int kMaxDurationMs = 5'000;
/** One in this many draws is a series, and the maximum number of faults in a
    series. */
constexpr unsigned kSeriesEvery = 5;
constexpr unsigned kMaxSeriesLength = 4;

/** Adds restores of the store, drawn from a generator of their own. */
void
AddRestores(const ScheduleOptions& aOptions, std::vector<Fault>& aFaults)
{
  std::mt19937 random(~aOptions.m_seed);
  std::exponential_distribution<double> gap(1.0 / kMeanRestoreIntervalMs);
  std::uniform_real_distribution<double> strength(0.0, 1.0);
  const auto length = static_cast<double>(aOptions.m_faultPeriod.count());
  for (double at = gap(random); at < length; at += gap(random)) {
    aFaults.push_back({ .m_kind = FaultKind::StoreRestored,
                        .m_at = Millis(static_cast<Millis::rep>(at)),
                        .m_duration = Millis(kMaxDurationMs),
                        .m_target = random(),
                        .m_strength = strength(random) });
  }
}

} // namespace

std::string_view
FaultName(FaultKind aKind)
{
  return kNames.at(static_cast<std::size_t>(aKind));
}

bool
IsPlanned(FaultKind aKind)
{
  return aKind == FaultKind::GatewayStop || aKind == FaultKind::GatewayReload ||
         aKind == FaultKind::ConfigChange ||
         aKind == FaultKind::EndpointReplace;
}

std::vector<Fault>
DrawSchedule(const ScheduleOptions& aOptions)
{
  std::mt19937 random(aOptions.m_seed);
  std::exponential_distribution<double> gap(1.0 / kMeanIntervalMs);
  std::uniform_int_distribution<int> duration(kMinDurationMs, kMaxDurationMs);
  std::uniform_real_distribution<double> strength(0.0, 1.0);
  const auto* const only =
    std::find(kNames.begin(), kNames.end(), aOptions.m_onlyKind);
  std::vector<Fault> faults;
  const auto length = static_cast<double>(aOptions.m_faultPeriod.count());
  for (double at = gap(random); at < length; at += gap(random)) {
    Fault fault;
    fault.m_kind = static_cast<FaultKind>(random() % kMixedFaultKinds);
    fault.m_at = Millis(static_cast<Millis::rep>(at));
    fault.m_duration = Millis(duration(random));
    fault.m_target = random();
    fault.m_strength = strength(random);
    if (!aOptions.m_onlyKind.empty()) {
      fault.m_kind = static_cast<FaultKind>(only - kNames.begin());
    }
    const unsigned times =
      random() % kSeriesEvery == 0 ? 1 + random() % kMaxSeriesLength : 1;
    for (unsigned i = 0; i < times; ++i) {
      faults.push_back(fault);
      fault.m_at += Millis(duration(random) / 4);
      ++fault.m_target;
    }
  }
  if (aOptions.m_restoresStore) {
    AddRestores(aOptions, faults);
  }
  std::stable_sort(
    faults.begin(), faults.end(), [](const Fault& aLeft, const Fault& aRight) {
      return aLeft.m_at < aRight.m_at;
    });
  return faults;
}

} // namespace sapphirehook::soak
