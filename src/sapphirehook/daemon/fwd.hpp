#ifndef SAPPHIREHOOK_DAEMON_FWD_HPP
#define SAPPHIREHOOK_DAEMON_FWD_HPP

/** Settings and threads of the daemon. */
namespace sapphirehook {

struct Settings;
class RequestRouter;
class DecisionLoop;
class Daemon;

} // namespace sapphirehook

#endif
