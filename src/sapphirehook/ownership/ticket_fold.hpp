#ifndef SAPPHIREHOOK_OWNERSHIP_TICKET_FOLD_HPP
#define SAPPHIREHOOK_OWNERSHIP_TICKET_FOLD_HPP

#include "sapphirehook/ownership/state.hpp"

namespace sapphirehook::internal {

/** Folds a ticket into the state. Returns Ok when it is in force, and
    otherwise the reason for which it was refused or ignored; a refusal is
    kept for `ticket status`. */
absl::Status
ApplyTicket(ClusterState& aState, const TicketRecord& aRecord);

} // namespace sapphirehook::internal

#endif
