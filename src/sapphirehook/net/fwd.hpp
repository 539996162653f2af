#ifndef SAPPHIREHOOK_NET_FWD_HPP
#define SAPPHIREHOOK_NET_FWD_HPP

/** Event loop, timers and sockets for one thread, over libev. */
namespace sapphirehook {

class EventLoop;
class Timer;
class SocketWatcher;
class TcpStream;
class TcpListener;
class DatagramSocket;

} // namespace sapphirehook

#endif
