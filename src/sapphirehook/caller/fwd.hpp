#ifndef SAPPHIREHOOK_CALLER_FWD_HPP
#define SAPPHIREHOOK_CALLER_FWD_HPP

/** The callers' port. */
namespace sapphirehook {

class CallerServer;

} // namespace sapphirehook

#endif
