#ifndef SAPPHIREHOOK_NET_TCP_STREAM_HPP
#define SAPPHIREHOOK_NET_TCP_STREAM_HPP

#include "sapphirehook/core/time.hpp"
#include "sapphirehook/net/event_loop.hpp"

#include <cstddef>
#include <functional>
#include <netinet/in.h>
#include <string>
#include <string_view>

namespace sapphirehook {

/** How a connection ended. */
enum class StreamEnd : unsigned char
{
  /** No listener answered: the connection was refused. */
  Refused,
  /** It was not established in time. */
  ConnectTimeout,
  /** The peer closed its side in an orderly way. */
  Closed,
  /** It was reset, or its peer stopped to acknowledge. */
  Reset,
};

/** What a connection tells its owner. */
struct StreamEvents
{
  std::function<void()> m_onConnected;
  std::function<void(std::string_view)> m_onData;
  /** All written bytes have been taken by the system. */
  std::function<void()> m_onDrained;
  /** The connection has ended; called once, and not for Close. */
  std::function<void(StreamEnd)> m_onEnd;
};

/** A non-blocking TCP connection with a buffer for what cannot be written
    yet. */
class TcpStream
{
public:
  TcpStream(EventLoop& aLoop, StreamEvents aEvents);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /** Starts to connect. aAcknowledgeWithin is how long written bytes may stay
      unacknowledged before the connection counts as reset. */
  void Connect(const sockaddr_in& aPeer,
               Millis aTimeout,
               Millis aAcknowledgeWithin);

  /** Takes over an accepted socket. */
  void Adopt(int aSocket, Millis aAcknowledgeWithin);

  void Write(std::string_view aBytes);

  /** Stops or goes on reading. A stopped stream does not see the peer leave. */
  void SetReading(bool aReading);

  /** Closes at once, without a call to m_onEnd. */
  void Close();

  /** Closes with a reset: bytes that have not arrived yet never will. */
  void Reset();

  /** Sends what is written, then closes the sending side and drops what the
      peer still sends, for at most the linger time. */
  void CloseAfterWrite();

  [[nodiscard]] bool IsOpen() const noexcept { return m_socket >= 0; }
  [[nodiscard]] bool IsConnected() const noexcept { return m_connected; }
  [[nodiscard]] std::size_t Unsent() const noexcept
  {
    return m_out.size() - m_sent;
  }

private:
  void OnEvents(int aEvents);
  void OnWritable();
  void OnReadable();
  void Flush();
  void Watch();
  void End(StreamEnd aEnd);
  void Configure(Millis aAcknowledgeWithin) const;

  EventLoop& m_loop;
  StreamEvents m_events;
  SocketWatcher m_watcher;
  Timer m_timer;
  std::string m_out;
  std::size_t m_sent = 0;
  int m_socket = -1;
  bool m_connected = false;
  bool m_reading = true;
  bool m_closing = false;
  bool m_shut = false;
};

/** Accepts connections on an address. */
class TcpListener
{
public:
  TcpListener(EventLoop& aLoop, std::function<void(int)> aOnSocket);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  /** Returns whether the address could be bound. */
  [[nodiscard]] bool Listen(const sockaddr_in& aAddress);

  void Close();

private:
  void OnReadable();

  std::function<void(int)> m_onSocket;
  SocketWatcher m_watcher;
  int m_socket = -1;
};

/** Sends and receives datagrams. */
class DatagramSocket
{
public:
  using Handler =
    std::function<void(const sockaddr_in& aFrom, std::string_view aBytes)>;

  DatagramSocket(EventLoop& aLoop, Handler aOnDatagram);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /** Returns whether the address could be bound. */
  [[nodiscard]] bool Bind(const sockaddr_in& aAddress);

  /** Returns the address that it is bound to. */
  [[nodiscard]] sockaddr_in LocalAddress() const noexcept;

  /** Sends one datagram; it may be lost. */
  void Send(const sockaddr_in& aTo, std::string_view aBytes);

private:
  void OnReadable();

  Handler m_onDatagram;
  SocketWatcher m_watcher;
  int m_socket = -1;
};

} // namespace sapphirehook

#endif
