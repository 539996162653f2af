#include "sapphirehook/net/tcp_stream.hpp"

#include <array>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace sapphirehook {

namespace {

/** A closing connection without progress for this long ends, unless its peer
    may still pause. */
constexpr Millis kLingerTimeout{ 1000 };

/** Size of the read buffer, which all streams of a thread share. */
constexpr std::size_t kReadSize = 32'768;
/** Sent bytes at the beginning of the send buffer, above which they are removed
    from it. A connection whose buffer never empties would otherwise keep all
    that it has ever sent. */
constexpr std::size_t kCompactAfter = 65'536;
/** An empty send buffer with a larger capacity, in bytes, is freed. */
constexpr std::size_t kMaxIdleCapacity = 4'096;
/** Maximum number of connections that are not accepted yet. */
constexpr int kBacklog = 512;

std::array<char, kReadSize>&
ReadBuffer()
{
  static thread_local std::array<char, kReadSize> buffer;
  return buffer;
}

void
SetOption(int aSocket, int aLevel, int aName, int aValue)
{
  setsockopt(aSocket, aLevel, aName, &aValue, sizeof aValue);
}

/** Whether a failed call on a socket may succeed later. */
bool
IsTransient(int aError)
{
  return aError == EAGAIN || aError == EINTR;
}

} // namespace

TcpStream::TcpStream(EventLoop& aLoop, StreamEvents aEvents)
  : m_loop(aLoop)
  , m_events(std::move(aEvents))
  , m_watcher(aLoop, [this](int aWhich) { OnEvents(aWhich); })
  , m_timer(aLoop, [this] { OnTimeout(); })
{
}

TcpStream::~TcpStream()
{
  Close();
}

void
TcpStream::Configure(Millis aAcknowledgeTimeout) const
{
  SetOption(m_socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(m_socket,
            IPPROTO_TCP,
            TCP_USER_TIMEOUT,
            static_cast<int>(aAcknowledgeTimeout.count()));
}

void
TcpStream::Connect(const sockaddr_in& aPeer,
                   Millis aTimeout,
                   Millis aAcknowledgeTimeout)
{
  m_socket =
    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP);
  if (m_socket < 0) {
    m_loop.Defer([this] { End(StreamEnd::ConnectTimeout); });
    return;
  }
  Configure(aAcknowledgeTimeout);
  const auto* peer = reinterpret_cast<const sockaddr*>(&aPeer);
  const int result = connect(m_socket, peer, sizeof aPeer);
  if (result != 0 && errno != EINPROGRESS) {
    // The loop reports the failure, because the owner cannot handle the call
    // yet.
    m_timer.Start(std::chrono::nanoseconds(0));
    return;
  }
  m_timer.Start(aTimeout);
  m_watcher.Watch(m_socket, EV_WRITE);
}

void
TcpStream::Adopt(int aSocket, Millis aAcknowledgeTimeout)
{
  m_socket = aSocket;
  m_connected = true;
  Configure(aAcknowledgeTimeout);
  Watch();
}

void
TcpStream::Write(std::string_view aBytes)
{
  if (m_socket < 0 || m_closing) {
    return;
  }
  if (m_connected && Unsent() == 0) {
    const auto sent =
      send(m_socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      aBytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    m_sendFailed = m_sendFailed || (sent < 0 && !IsTransient(errno));
  }
  if (!aBytes.empty()) {
    m_sendBuffer.append(aBytes);
    m_buffered.Set(m_sendBuffer.capacity());
    Watch();
  }
}

void
TcpStream::SetReading(bool aReading)
{
  m_reading = aReading;
  Watch();
}

void
TcpStream::Watch()
{
  if (m_socket < 0 || !m_connected) {
    return;
  }
  m_watcher.Watch(m_socket,
                  ((m_reading || m_closing) && !m_hasUnread ? EV_READ : 0) |
                    (Unsent() > 0 ? EV_WRITE : 0));
}

void
TcpStream::Close()
{
  m_timer.Stop();
  m_watcher.Watch(m_socket, 0);
  if (m_socket >= 0) {
    close(m_socket);
  }
  m_socket = -1;
  m_connected = false;
}

void
TcpStream::Reset()
{
  if (m_socket >= 0) {
    const linger abortive{ 1, 0 };
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
  }
  Close();
}

void
TcpStream::CloseAfterWrite(TimePoint aDeliverBy, LateBytes aLateBytes)
{
  if (m_socket < 0 || m_closing) {
    return;
  }
  m_closing = true;
  m_deliverBy = aDeliverBy;
  m_lateBytes = aLateBytes;
  m_lingering = Undelivered();
  m_timer.Start(kLingerTimeout);
  if (Unsent() == 0) {
    shutdown(m_socket, SHUT_WR);
    m_sendShutdown = true;
  }
  Watch();
}

std::size_t
TcpStream::Undelivered() const noexcept
{
  if (m_socket < 0) {
    return 0;
  }
  int queued = 0;
  const bool known = ioctl(m_socket, SIOCOUTQ, &queued) == 0 && queued > 0;
  return Unsent() + (known ? static_cast<std::size_t>(queued) : 0);
}

void
TcpStream::OnTimeout()
{
  if (!m_closing) {
    End(StreamEnd::ConnectTimeout);
    return;
  }
  // A peer on a slow link may need longer for an answer. One that still sends
  // would meet a reset, which discards what it has not read yet.
  const auto left = Undelivered();
  const bool mayPause = BootClock::now() < m_deliverBy;
  const bool isDelivering = left < std::exchange(m_lingering, left);
  const bool isReceiving = std::exchange(m_hasReceived, false) && mayPause;
  if (isDelivering || isReceiving || (left > 0 && mayPause)) {
    m_timer.Start(kLingerTimeout);
  } else {
    End(StreamEnd::Closed);
  }
}

void
TcpStream::End(StreamEnd aEnd)
{
  if (m_socket < 0 && aEnd != StreamEnd::ConnectTimeout) {
    return;
  }
  Close();
  if (m_events.m_onEnd) {
    m_events.m_onEnd(aEnd);
  }
}

void
TcpStream::OnEvents(int aEvents)
{
  // Reads first: an answer that arrived before the peer closed is read before a
  // failed write ends the connection.
  if (m_connected && (aEvents & EV_READ) != 0) {
    OnReadable();
  }
  if (m_socket >= 0 && (aEvents & EV_WRITE) != 0) {
    OnWritable();
  }
}

void
TcpStream::OnWritable()
{
  if (!m_connected) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      End(error == ECONNREFUSED ? StreamEnd::Refused
                                : StreamEnd::ConnectTimeout);
      return;
    }
    m_connected = true;
    m_timer.Stop();
    if (m_events.m_onConnected) {
      m_events.m_onConnected();
    }
    if (m_socket < 0) {
      return;
    }
  }
  Flush();
}

void
TcpStream::Flush()
{
  if (Unsent() > 0) {
    const auto sent =
      send(m_socket, m_sendBuffer.data() + m_sent, Unsent(), MSG_NOSIGNAL);
    if (sent < 0 && !IsTransient(errno)) {
      End(StreamEnd::Reset);
      return;
    }
    m_sent += sent > 0 ? static_cast<std::size_t>(sent) : 0;
  }
  CompactSendBuffer();
  if (Unsent() == 0) {
    if (m_closing && !m_sendShutdown) {
      shutdown(m_socket, SHUT_WR);
      m_sendShutdown = true;
    } else if (m_events.m_onDrained) {
      m_events.m_onDrained();
    }
  }
  Watch();
}

void
TcpStream::CompactSendBuffer()
{
  if (Unsent() == 0) {
    m_sent = 0;
    m_sendBuffer.clear();
    if (m_sendBuffer.capacity() > kMaxIdleCapacity) {
      m_sendBuffer.shrink_to_fit();
    }
  } else if (m_sent >= kCompactAfter && m_sent >= Unsent()) {
    m_sendBuffer.erase(0, std::exchange(m_sent, 0));
    if (m_sendBuffer.capacity() / 4 > m_sendBuffer.size()) {
      m_sendBuffer.shrink_to_fit();
    }
  }
  m_buffered.Set(m_sendBuffer.capacity());
}

void
TcpStream::OnReadable()
{
  auto& buffer = ReadBuffer();
  const bool leavesUnread = m_closing && m_lateBytes == LateBytes::LeftUnread;
  const auto count =
    recv(m_socket, buffer.data(), buffer.size(), leavesUnread ? MSG_PEEK : 0);
  if (count > 0 && leavesUnread) {
    m_hasUnread = true;
    Watch();
    return;
  }
  if (count > 0) {
    m_hasReceived = true;
    if (!m_closing && m_events.m_onData) {
      m_events.m_onData({ buffer.data(), static_cast<std::size_t>(count) });
    }
    return;
  }
  if (count == 0) {
    // A send that fails because of a reset takes the error from the socket,
    // which then reads as if the peer had closed it.
    End(m_sendFailed ? StreamEnd::Reset : StreamEnd::Closed);
  } else if (!IsTransient(errno)) {
    End(StreamEnd::Reset);
  }
}

TcpListener::TcpListener(EventLoop& aLoop, std::function<void(int)> aOnSocket)
  : m_onSocket(std::move(aOnSocket))
  , m_watcher(aLoop, [this](int) { AcceptOne(); })
{
}

TcpListener::~TcpListener()
{
  Close();
}

bool
TcpListener::Listen(const sockaddr_in& aAddress)
{
  m_socket =
    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP);
  SetOption(m_socket, SOL_SOCKET, SO_REUSEADDR, 1);
  const auto* address = reinterpret_cast<const sockaddr*>(&aAddress);
  if (m_socket < 0 || bind(m_socket, address, sizeof aAddress) != 0 ||
      listen(m_socket, kBacklog) != 0) {
    return false;
  }
  m_watcher.Watch(m_socket, EV_READ);
  return true;
}

void
TcpListener::Close()
{
  m_watcher.Watch(m_socket, 0);
  if (m_socket >= 0) {
    close(m_socket);
  }
  m_socket = -1;
}

void
TcpListener::AcceptPending()
{
  while (AcceptOne()) {
  }
}

bool
TcpListener::AcceptOne()
{
  const int accepted =
    accept4(m_socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (accepted >= 0) {
    m_onSocket(accepted);
  }
  return accepted >= 0;
}

DatagramSocket::DatagramSocket(EventLoop& aLoop, Handler aOnDatagram)
  : m_onDatagram(std::move(aOnDatagram))
  , m_watcher(aLoop, [this](int) { OnReadable(); })
{
}

DatagramSocket::~DatagramSocket()
{
  m_watcher.Watch(m_socket, 0);
  if (m_socket >= 0) {
    close(m_socket);
  }
}

bool
DatagramSocket::Bind(const sockaddr_in& aAddress)
{
  m_socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const auto* address = reinterpret_cast<const sockaddr*>(&aAddress);
  if (m_socket < 0 || bind(m_socket, address, sizeof aAddress) != 0) {
    return false;
  }
  m_watcher.Watch(m_socket, EV_READ);
  return true;
}

sockaddr_in
DatagramSocket::LocalAddress() const noexcept
{
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
  return address;
}

void
DatagramSocket::Send(const sockaddr_in& aTo, std::string_view aBytes)
{
  const auto* to = reinterpret_cast<const sockaddr*>(&aTo);
  sendto(m_socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL, to, sizeof aTo);
}

void
DatagramSocket::OnReadable()
{
  auto& buffer = ReadBuffer();
  sockaddr_in from{};
  socklen_t size = sizeof from;
  const auto count = recvfrom(m_socket,
                              buffer.data(),
                              buffer.size(),
                              0,
                              reinterpret_cast<sockaddr*>(&from),
                              &size);
  if (count > 0) {
    m_onDatagram(from, { buffer.data(), static_cast<std::size_t>(count) });
  }
}

} // namespace sapphirehook
