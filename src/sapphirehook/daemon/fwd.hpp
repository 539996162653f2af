#ifndef SAPPHIREHOOK_DAEMON_FWD_HPP
#define SAPPHIREHOOK_DAEMON_FWD_HPP

/** The daemon, its settings and its threads. */
namespace sapphirehook {

struct Settings;
class RequestRouter;
class DecisionLoop;
class Daemon;

} // namespace sapphirehook

#endif
