#ifndef SAPPHIREHOOK_CORE_METRIC_TEXT_HPP
#define SAPPHIREHOOK_CORE_METRIC_TEXT_HPP

#include "sapphirehook/core/text.hpp"

#include <string>
#include <string_view>

namespace sapphirehook {

/** Adds the line that names a metric's type to a Prometheus text. */
inline void
AppendMetricType(std::string& aText,
                 std::string_view aName,
                 std::string_view aType)
{
  aText += Concat("# TYPE ", aName, " ", aType, "\n");
}

/** Adds a metric of one sample, and its type, to a Prometheus text. */
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
