#ifndef SAPPHIREHOOK_OPERATOR_LOG_COMMANDS_HPP
#define SAPPHIREHOOK_OPERATOR_LOG_COMMANDS_HPP

#include "sapphirehook/operator/timeline.hpp"

#include <absl/status/status.h>
#include <ostream>
#include <string>
#include <vector>

namespace sapphirehook {

/** Prints what log files, one of each process, tell of the request of an id.
    Returns NotFound if none of them names it, and InvalidArgument for a file
    that cannot be read. */
[[nodiscard]] absl::Status
ExplainRequest(std::ostream& aOut,
               const std::string& aId,
               const std::vector<std::string>& aPaths);

/** Prints the changes of belief in log files, one of each process, in order of
    time. Lines of single requests are left out. Returns InvalidArgument for a
    file that cannot be read. */
[[nodiscard]] absl::Status
PrintLogTimeline(std::ostream& aOut,
                 const std::vector<std::string>& aPaths,
                 const TimelineFilter& aFilter);

} // namespace sapphirehook

#endif
