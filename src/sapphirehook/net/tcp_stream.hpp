#ifndef SAPPHIREHOOK_NET_TCP_STREAM_HPP
#define SAPPHIREHOOK_NET_TCP_STREAM_HPP

#include "sapphirehook/core/memory_budget.hpp"
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
  /** The peer refused the connection: no process listens on the address. */
  Refused,
  /** The connection was not established in time. */
  ConnectTimeout,
  /** The peer closed its side (FIN). */
  Closed,
  /** The connection was reset, or the peer stopped acknowledging data. */
  Reset,
};

/** What a closing connection does with bytes that its peer still sends. */
enum class LateBytes : unsigned char
{
  /** They are received and discarded. */
  Discarded,
  /** They are not received, so that a request among them counts as not read. */
  LeftUnread,
};

/** Callbacks of a connection. */
struct StreamEvents
{
  std::function<void()> m_onConnected;
  std::function<void(std::string_view)> m_onData;
  /** The send buffer is empty: the kernel has accepted all written bytes. */
  std::function<void()> m_onDrained;
  /** The connection has ended. Called once, and not after Close. */
  std::function<void(StreamEnd)> m_onEnd;
};

/** Non-blocking TCP connection with a send buffer. */
class TcpStream
{
public:
  TcpStream(EventLoop& aLoop, StreamEvents aEvents);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /** Starts to connect. The connection counts as reset when written bytes stay
      unacknowledged for aAcknowledgeTimeout (TCP_USER_TIMEOUT). */
  void Connect(const sockaddr_in& aPeer,
               Millis aTimeout,
               Millis aAcknowledgeTimeout);

  /** Takes ownership of an accepted socket. */
  void Adopt(int aSocket, Millis aAcknowledgeTimeout);

  void Write(std::string_view aBytes);

  /** Counts the send buffer in a budget. */
  void SetBudget(std::shared_ptr<MemoryBudget> aBudget)
  {
    m_buffered.Attach(std::move(aBudget));
  }

  /** Pauses or resumes reading. While reading is paused, the stream does not
      detect that the peer closes. */
  void SetReading(bool aReading);

  /** Closes immediately, without calling m_onEnd. */
  void Close();

  /** Closes with a reset: bytes that the peer has not received yet are
      discarded. */
  void Reset();

  /** Sends the written bytes, shuts down the sending side and waits until the
      peer closes: a reset would discard what it has not read yet. A peer that
     has not acknowledged everything may pause until aDeliverBy; after that, and
     once it has, the connection ends when nothing arrives at either side for
     the linger timeout. */
  void CloseAfterWrite(TimePoint aDeliverBy = {},
                       LateBytes aLateBytes = LateBytes::Discarded);

  [[nodiscard]] bool IsOpen() const noexcept { return m_socket >= 0; }
  [[nodiscard]] bool IsConnected() const noexcept { return m_connected; }
  [[nodiscard]] std::size_t Unsent() const noexcept
  {
    return m_sendBuffer.size() - m_sent;
  }
  /** Returns the number of written bytes that the peer has not acknowledged. */
  [[nodiscard]] std::size_t Undelivered() const noexcept;

private:
  void OnEvents(int aEvents);
  void OnWritable();
  void OnReadable();
  void Flush();
  /** Frees the part of the send buffer that is sent. */
  void CompactSendBuffer();
  void Watch();
  void End(StreamEnd aEnd);
  void OnTimeout();
  void Configure(Millis aAcknowledgeTimeout) const;

  EventLoop& m_loop;
  StreamEvents m_events;
  SocketWatcher m_watcher;
  Timer m_timer;
  std::string m_sendBuffer;
  std::size_t m_sent = 0;
  BudgetedBytes m_buffered;
  int m_socket = -1;
  bool m_connected = false;
  bool m_reading = true;
  bool m_closing = false;
  LateBytes m_lateBytes = LateBytes::Discarded;
  /** Bytes have arrived that are left unread. */
  bool m_hasUnread = false;
  /** While closing: until when the peer may pause. */
  TimePoint m_deliverBy{};
  /** Unacknowledged bytes when the linger timeout began, and whether bytes have
      been received since. */
  std::size_t m_lingering = 0;
  bool m_hasReceived = false;
  bool m_sendShutdown = false;
  /** A send has failed, so that the peer has reset the connection. */
  bool m_sendFailed = false;
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

  /** Accepts all connections that are established. */
  void AcceptPending();

  void Close();

private:
  /** Returns whether a connection was waiting to be accepted. */
  bool AcceptOne();

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

  /** Returns the address to which the socket is bound. */
  [[nodiscard]] sockaddr_in LocalAddress() const noexcept;

  /** Sends one datagram, without a guarantee of delivery. */
  void Send(const sockaddr_in& aTo, std::string_view aBytes);

private:
  void OnReadable();

  Handler m_onDatagram;
  SocketWatcher m_watcher;
  int m_socket = -1;
};

} // namespace sapphirehook

#endif
