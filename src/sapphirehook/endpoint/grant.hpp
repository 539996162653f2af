#ifndef SAPPHIREHOOK_ENDPOINT_GRANT_HPP
#define SAPPHIREHOOK_ENDPOINT_GRANT_HPP

#include "sapphirehook/ownership/action.hpp"

#include <absl/status/statusor.h>
#include <string>

namespace sapphirehook {

/** Path at which endpoints receive grants. */
inline constexpr std::string_view kGrantPath = "/sapphirehook/v1/grant";

/** Path at which endpoints renew leases and report their clock. */
inline constexpr std::string_view kLeasePath = "/sapphirehook/v1/lease";

/** Returns the JSON body of a grant or lease call. */
[[nodiscard]] std::string
EncodeLeaseCall(const LeaseCallAction& aAction);

/** Parses an endpoint's answer to a lease call. Returns InvalidArgument if the
    text is not valid JSON, a field is missing or has another type, or the boot
    identifier is empty. */
[[nodiscard]] absl::StatusOr<LeaseAnswer>
ParseLeaseAnswer(const std::string& aText);

} // namespace sapphirehook

#endif
