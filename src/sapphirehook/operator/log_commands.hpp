#ifndef SAPPHIREHOOK_OPERATOR_LOG_COMMANDS_HPP
#define SAPPHIREHOOK_OPERATOR_LOG_COMMANDS_HPP

#include "sapphirehook/operator/timeline.hpp"

#include <absl/status/status.h>
#include <ostream>
#include <string>
#include <vector>

namespace sapphirehook {

/** Prints the log lines that concern the request with an id. Each log file
    belongs to one process. Returns NotFound if no file contains the id, and
    InvalidArgument if a file cannot be read. */
[[nodiscard]] absl::Status
ExplainRequest(std::ostream& aOut,
               const std::string& aId,
               const std::vector<std::string>& aPaths);

/** Prints the state changes in log files in order of time. Each log file
    belongs to one process. Omits lines of single requests. Returns
    InvalidArgument if a file cannot be read. */
[[nodiscard]] absl::Status
PrintLogTimeline(std::ostream& aOut,
                 const std::vector<std::string>& aPaths,
                 const TimelineFilter& aFilter);

} // namespace sapphirehook

#endif
