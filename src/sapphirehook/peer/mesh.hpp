#ifndef SAPPHIREHOOK_PEER_MESH_HPP
#define SAPPHIREHOOK_PEER_MESH_HPP

#include "sapphirehook/core/ring.hpp"
#include "sapphirehook/core/worker.hpp"
#include "sapphirehook/dispatch/exchange.hpp"
#include "sapphirehook/peer/message.hpp"

#include <absl/status/status.h>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <variant>

namespace sapphirehook {

/** Identifies a stream on which another daemon waits for an answer. */
struct PeerHandle
{
  std::uint64_t m_connection = 0;
  std::int32_t m_stream = 0;
};

/** Sends a message to a daemon. The answer is reported as AnswerReceived. */
struct SendMessage
{
  std::string m_address;
  std::string m_bytes;
};

/** Answers a message of another daemon. */
struct AnswerMessage
{
  PeerHandle m_handle;
  std::string m_bytes;
};

/** Forwards a request to a daemon. */
struct ForwardRequest
{
  ExchangePtr m_exchange;
  std::string m_address;
};

/** A message of another daemon, which expects an answer. */
struct MessageReceived
{
  PeerHandle m_handle;
  std::string m_bytes;
};

/** The answer to a message that this daemon sent. */
struct AnswerReceived
{
  std::string m_address;
  std::string m_bytes;
};

/** A request that another daemon has forwarded to this one. */
struct ForwardReceived
{
  ExchangePtr m_exchange;
};

/** The end of a request that this daemon forwarded. */
struct ForwardEnded
{
  ExchangePtr m_exchange;
  /** Empty if the complete answer was received. */
  std::optional<ErrorKind> m_error;
};

/** A command to the mesh. */
using PeerCommand =
  std::variant<std::monostate, SendMessage, AnswerMessage, ForwardRequest>;

/** An event that the mesh reports. */
using PeerEvent = std::variant<std::monostate,
                               MessageReceived,
                               AnswerReceived,
                               ForwardReceived,
                               ForwardEnded>;

namespace internal {
class PeerConnection;
} // namespace internal

/** The HTTP/2 connections with other daemons, served by a dedicated thread. */
class PeerMesh
{
public:
  explicit PeerMesh(Ring<PeerEvent>& aEvents);
  ~PeerMesh();
  PeerMesh(const PeerMesh&) = delete;
  PeerMesh& operator=(const PeerMesh&) = delete;
  PeerMesh(PeerMesh&&) = delete;
  PeerMesh& operator=(PeerMesh&&) = delete;

  /** Binds the port for other daemons. Returns Unavailable if the address is in
      use. */
  [[nodiscard]] absl::Status Listen(const std::string& aAddress);

  void Start();
  void Stop();

  /** Returns the ring from which the thread reads commands. */
  [[nodiscard]] Ring<PeerCommand>& Commands() noexcept { return m_commands; }

  /** Returns the bytes of messages sent and received, without the HTTP/2
      framing. */
  [[nodiscard]] std::uint64_t ControlBytes() const noexcept
  {
    return m_controlBytes.load();
  }

  /** Returns the number of messages sent and received. */
  [[nodiscard]] std::uint64_t ControlMessages() const noexcept
  {
    return m_controlMessages.load();
  }

private:
  friend class internal::PeerConnection;

  void Run();
  void Accept();
  void TakeCommands();
  void TakeResumes();
  void CheckTimers();
  void Drop(std::uint64_t aConnection);
  void FlushAndWatch(internal::PeerConnection& aConnection);
  internal::PeerConnection* ConnectionTo(const std::string& aAddress);
  void Emit(const PeerEvent& aEvent);
  /** Requests that the thread resumes a stream. Thread-safe. */
  void PostResume(std::uint64_t aConnection, std::int32_t aStream);

  static constexpr std::size_t kRingCapacity = 16384;

  Ring<PeerEvent>& m_events;
  Waker m_waker;
  Ring<PeerCommand> m_commands;
  int m_epoll = -1;
  int m_listener = -1;
  std::uint64_t m_lastConnection = 0;
  /** Last id of a forwarded request. The ids have their highest bit set, so
     they differ from the ids of this daemon's callers. */
  std::uint64_t m_lastExchange = std::uint64_t{ 1 } << 63U;
  std::unordered_map<std::uint64_t, std::unique_ptr<internal::PeerConnection>>
    m_connections;
  std::unordered_map<std::string, std::uint64_t> m_byAddress;
  std::mutex m_mutex;
  std::vector<PeerHandle> m_resumes;
  std::atomic<std::uint64_t> m_controlBytes{ 0 };
  std::atomic<std::uint64_t> m_controlMessages{ 0 };
  Worker m_worker;
};

} // namespace sapphirehook

#endif
