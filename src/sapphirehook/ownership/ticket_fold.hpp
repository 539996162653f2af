#ifndef SAPPHIREHOOK_OWNERSHIP_TICKET_FOLD_HPP
#define SAPPHIREHOOK_OWNERSHIP_TICKET_FOLD_HPP

#include "sapphirehook/ownership/state.hpp"

namespace sapphirehook::internal {

/** Folds a ticket into the state. Returns Ok if the ticket is accepted,
    otherwise the reason for rejecting or ignoring it. Rejections are kept for
    `ticket status`. */
absl::Status
ApplyTicket(ClusterState& aState, const TicketRecord& aRecord);

} // namespace sapphirehook::internal

#endif
