#include "sapphirehook/admission/admission_control.hpp"
#include "sapphirehook/core/metric_text.hpp"

// Metrics of the admission by service and kind.

namespace sapphirehook {

namespace {

std::string
Labels(const std::string& aService,
       const KindKey& aKind,
       std::string_view aType)
{
  return Concat("service=\"",
                aService,
                "\",kind=\"",
                aType,
                "\",priority=\"",
                aKind.m_urgency.m_priority,
                "\",objective_ms=\"",
                aKind.m_urgency.m_objective.count(),
                "\"");
}

} // namespace

void
AdmissionControl::AppendSamples(std::string& aText, NameOfType aNameOf) const
{
  // Only kinds of divided services and kinds with refusals have lines: large
  // deployments have some hundred services.
  const auto forEach =
    [&](std::string_view aName, std::string_view aType, const auto& aAppend) {
      AppendMetricType(aText, aName, aType);
      for (const auto& [name, service] : m_services) {
        for (const auto& [key, kind] : service.m_kinds) {
          aAppend(aName, service, kind, Labels(name, key, aNameOf(key.m_type)));
        }
      }
    };
  const auto sample =
    [&](std::string_view aName, std::string_view aLabels, const auto& aValue) {
      aText += Concat(aName, "{", aLabels, "} ", aValue, "\n");
    };
  forEach(
    "sapphirehook_admitted_share",
    "gauge",
    [&](auto aName, const auto& aService, const auto& aKind, auto aLabels) {
      if (aService.m_isDivided) {
        sample(aName, aLabels, aKind.m_share);
      }
    });
  forEach(
    "sapphirehook_queue_length",
    "gauge",
    [&](auto aName, const auto& aService, const auto& aKind, auto aLabels) {
      if (aService.m_isDivided || aKind.m_waiting > 0) {
        sample(aName, aLabels, aKind.m_waiting);
      }
    });
  forEach("sapphirehook_refusals_total",
          "counter",
          [&](auto aName, const auto&, const auto& aKind, auto aLabels) {
            for (const auto& [reason, count] : aKind.m_refusals) {
              sample(aName, Concat(aLabels, ",reason=\"", reason, "\""), count);
            }
          });
}

} // namespace sapphirehook
