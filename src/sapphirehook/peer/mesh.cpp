#include "sapphirehook/peer/mesh.hpp"

#include "sapphirehook/core/address.hpp"
#include "sapphirehook/core/text.hpp"
#include "sapphirehook/peer/connection.hpp"

#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sapphirehook {

namespace {

constexpr std::uint64_t kWakerTag = 0;
constexpr std::uint64_t kListenerTag = 1;
constexpr std::uint64_t kFirstConnection = 2;
constexpr int kBacklog = 1024;

void
SetNoDelay(int aSocket)
{
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

PeerMesh::PeerMesh(Ring<PeerEvent>& aEvents)
  : m_events(aEvents)
  , m_commands(kRingCapacity, [this] { m_waker.Wake(); })
  , m_epoll(epoll_create1(EPOLL_CLOEXEC))
  , m_lastConnection(kFirstConnection)
{
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kWakerTag;
  epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_waker.Descriptor(), &event);
}

PeerMesh::~PeerMesh()
{
  Stop();
  m_connections.clear();
  if (m_listener >= 0) {
    close(m_listener);
  }
  close(m_epoll);
}

absl::Status
PeerMesh::Listen(const std::string& aAddress)
{
  const auto address = ParseAddress(aAddress);
  if (!address.ok()) {
    return address.status();
  }
  m_listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto socketAddress = ToSocketAddress(*address);
  const bool bound = bind(m_listener,
                          reinterpret_cast<const sockaddr*>(&socketAddress),
                          sizeof(socketAddress)) == 0 &&
                     listen(m_listener, kBacklog) == 0;
  if (!bound) {
    return absl::UnavailableError(
      Concat("cannot listen on ", aAddress, " for other daemons"));
  }
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kListenerTag;
  epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_listener, &event);
  return absl::OkStatus();
}

void
PeerMesh::Start()
{
  m_worker.Start("peers", [this] { Run(); });
}

void
PeerMesh::Stop()
{
  m_waker.Wake();
  m_worker.Stop();
}

void
PeerMesh::Emit(const PeerEvent& aEvent)
{
  constexpr Millis kFullRingWait{ 1 };
  while (!m_events.Push(aEvent) && !m_worker.IsStopping()) {
    m_worker.SleepFor(kFullRingWait);
  }
}

void
PeerMesh::PostResume(std::uint64_t aConnection, std::int32_t aStream)
{
  {
    const std::lock_guard lock(m_mutex);
    m_resumes.push_back({ aConnection, aStream });
  }
  m_waker.Wake();
}

void
PeerMesh::Accept()
{
  while (true) {
    const int socket =
      accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0) {
      return;
    }
    SetNoDelay(socket);
    const auto id = ++m_lastConnection;
    auto connection =
      std::make_unique<internal::PeerConnection>(*this, id, socket, "");
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = id;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, socket, &event);
    m_connections[id] = std::move(connection);
  }
}

internal::PeerConnection*
PeerMesh::ConnectionTo(const std::string& aAddress)
{
  const auto known = m_byAddress.find(aAddress);
  if (known != m_byAddress.end()) {
    return m_connections.at(known->second).get();
  }
  const auto address = ParseAddress(aAddress);
  if (!address.ok()) {
    return nullptr;
  }
  const int descriptor =
    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const auto socketAddress = ToSocketAddress(*address);
  SetNoDelay(descriptor);
  const int result = connect(descriptor,
                             reinterpret_cast<const sockaddr*>(&socketAddress),
                             sizeof(socketAddress));
  if (result != 0 && errno != EINPROGRESS) {
    close(descriptor);
    return nullptr;
  }
  const auto id = ++m_lastConnection;
  auto connection =
    std::make_unique<internal::PeerConnection>(*this, id, descriptor, aAddress);
  auto* created = connection.get();
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT;
  event.data.u64 = id;
  epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event);
  m_connections[id] = std::move(connection);
  m_byAddress[aAddress] = id;
  return created;
}

void
PeerMesh::Drop(std::uint64_t aConnection)
{
  const auto found = m_connections.find(aConnection);
  if (found == m_connections.end()) {
    return;
  }
  const auto connection = std::move(found->second);
  m_connections.erase(found);
  const auto byAddress = m_byAddress.find(connection->Address());
  if (byAddress != m_byAddress.end() && byAddress->second == aConnection) {
    m_byAddress.erase(byAddress);
  }
  connection->FailAll();
}

void
PeerMesh::FlushAndWatch(internal::PeerConnection& aConnection)
{
  const auto id = aConnection.Id();
  if (!aConnection.Flush()) {
    Drop(id);
    return;
  }
  epoll_event event{};
  event.events = aConnection.WantsWrite() ? EPOLLIN | EPOLLOUT : EPOLLIN;
  event.data.u64 = id;
  if (event.events == aConnection.m_watchedEvents) {
    return;
  }
  aConnection.m_watchedEvents = event.events;
  epoll_ctl(m_epoll, EPOLL_CTL_MOD, aConnection.Socket(), &event);
}

void
PeerMesh::TakeCommands()
{
  while (auto command = m_commands.Pop()) {
    internal::PeerConnection* connection = nullptr;
    if (auto* message = std::get_if<SendMessage>(&*command)) {
      connection = ConnectionTo(message->m_address);
      if (connection != nullptr) {
        connection->Send(std::move(message->m_bytes));
      }
    } else if (auto* answer = std::get_if<AnswerMessage>(&*command)) {
      const auto found = m_connections.find(answer->m_handle.m_connection);
      if (found != m_connections.end()) {
        connection = found->second.get();
        connection->Answer(answer->m_handle.m_stream,
                           std::move(answer->m_bytes));
      }
    } else if (auto* forward = std::get_if<ForwardRequest>(&*command)) {
      connection = ConnectionTo(forward->m_address);
      if (connection != nullptr) {
        connection->Forward(forward->m_exchange);
      } else {
        Emit(ForwardEnded{ forward->m_exchange, ErrorKind::PeerUnreachable });
      }
    }
    if (connection != nullptr) {
      FlushAndWatch(*connection);
    }
  }
}

void
PeerMesh::TakeResumes()
{
  std::vector<PeerHandle> resumes;
  {
    const std::lock_guard lock(m_mutex);
    resumes.swap(m_resumes);
  }
  for (const auto& handle : resumes) {
    const auto found = m_connections.find(handle.m_connection);
    if (found != m_connections.end()) {
      found->second->Resume(handle.m_stream);
    }
  }
  for (const auto& handle : resumes) {
    const auto found = m_connections.find(handle.m_connection);
    if (found != m_connections.end()) {
      FlushAndWatch(*found->second);
    }
  }
}

void
PeerMesh::CheckTimers()
{
  const auto now = BootClock::now();
  std::vector<std::uint64_t> ids;
  for (const auto& [id, connection] : m_connections) {
    ids.push_back(id);
  }
  for (const auto id : ids) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
      continue;
    }
    if (!found->second->CheckAlive(now)) {
      Drop(id);
    } else if (found->second->WantsWrite()) {
      FlushAndWatch(*found->second);
    }
  }
}

void
PeerMesh::Run()
{
  constexpr int kMaxEvents = 64;
  constexpr int kTimerMs = 100;
  std::array<epoll_event, kMaxEvents> events{};
  auto nextTimer = BootClock::now();
  while (!m_worker.IsStopping()) {
    const int count = epoll_wait(m_epoll, events.data(), kMaxEvents, kTimerMs);
    for (int i = 0; i < count; ++i) {
      const auto& event = events.at(static_cast<std::size_t>(i));
      const auto tag = event.data.u64;
      if (tag == kWakerTag) {
        m_waker.Clear();
        continue;
      }
      if (tag == kListenerTag) {
        Accept();
        continue;
      }
      const auto found = m_connections.find(tag);
      if (found == m_connections.end()) {
        continue;
      }
      const bool readable =
        (event.events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0;
      if (readable && !found->second->OnReadable()) {
        Drop(tag);
        continue;
      }
      FlushAndWatch(*found->second);
    }
    TakeCommands();
    TakeResumes();
    const auto now = BootClock::now();
    if (now >= nextTimer) {
      nextTimer = now + Millis(kTimerMs);
      CheckTimers();
    }
  }
}

} // namespace sapphirehook
