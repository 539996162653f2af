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
  "config-change"
};

/** Time between two faults, on average. */
constexpr int kMeanGap = 900; // milliseconds
/** How long a fault lasts. */
constexpr int kShortest = 200;  // milliseconds
constexpr int kLongest = 5'000; // milliseconds
/** One in so many draws is a series, and so many faults are in one at most. */
constexpr unsigned kSeriesEvery = 5;
constexpr unsigned kLongestSeries = 4;

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
  std::exponential_distribution<double> gap(1.0 / kMeanGap);
  std::uniform_int_distribution<int> span(kShortest, kLongest);
  std::uniform_real_distribution<double> strength(0.0, 1.0);
  const auto* const only =
    std::find(kNames.begin(), kNames.end(), aOptions.m_only);
  std::vector<Fault> faults;
  const auto length = static_cast<double>(aOptions.m_length.count());
  for (double at = gap(random); at < length; at += gap(random)) {
    Fault fault;
    fault.m_kind = static_cast<FaultKind>(random() % kFaultKinds);
    fault.m_at = Millis(static_cast<Millis::rep>(at));
    fault.m_for = Millis(span(random));
    fault.m_target = random();
    fault.m_strength = strength(random);
    if (!aOptions.m_only.empty()) {
      fault.m_kind = static_cast<FaultKind>(only - kNames.begin());
    }
    const unsigned times =
      random() % kSeriesEvery == 0 ? 1 + random() % kLongestSeries : 1;
    for (unsigned i = 0; i < times; ++i) {
      faults.push_back(fault);
      fault.m_at += Millis(span(random) / 4);
      ++fault.m_target;
    }
  }
  std::stable_sort(
    faults.begin(), faults.end(), [](const Fault& aLeft, const Fault& aRight) {
      return aLeft.m_at < aRight.m_at;
    });
  return faults;
}

} // namespace sapphirehook::soak
