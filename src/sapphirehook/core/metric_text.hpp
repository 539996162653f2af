#ifndef SAPPHIREHOOK_CORE_METRIC_TEXT_HPP
#define SAPPHIREHOOK_CORE_METRIC_TEXT_HPP

#include "sapphirehook/core/text.hpp"

#include <string>
#include <string_view>

namespace sapphirehook {

/** Appends the `# TYPE` line of a metric to a Prometheus text. */
inline void
AppendMetricType(std::string& aText,
                 std::string_view aName,
                 std::string_view aType)
{
  aText += Concat("# TYPE ", aName, " ", aType, "\n");
}

/** Appends a metric with one sample, and its `# TYPE` line, to a Prometheus
    text. */
template<typename Number>
void
AppendMetric(std::string& aText,
             std::string_view aName,
             std::string_view aType,
             Number aValue)
{
  AppendMetricType(aText, aName, aType);
  aText += Concat(aName, " ", aValue, "\n");
}

} // namespace sapphirehook

#endif
