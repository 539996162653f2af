#ifndef SAPPHIREHOOK_ENDPOINT_CLIENT_HPP
#define SAPPHIREHOOK_ENDPOINT_CLIENT_HPP

#include "sapphirehook/core/ring.hpp"
#include "sapphirehook/core/worker.hpp"
#include "sapphirehook/dispatch/exchange.hpp"
#include "sapphirehook/ownership/action.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <variant>

namespace sapphirehook {

/** When the authority to send requests to an endpoint expires. The decision
    thread updates it. The client reads it immediately before each send. */
struct AuthorityCell
{
  std::atomic<TimePoint::rep> m_until{ 0 };
};

/** Sends a request to an endpoint. */
struct SendRequest
{
  ExchangePtr m_exchange;
  std::string m_endpoint;
  std::string m_address;
  FencingToken m_fence;
  std::uint64_t m_partition = 0;
  std::shared_ptr<AuthorityCell> m_authority;
};

/** The end of a request, whether or not it was sent to the endpoint. */
struct RequestEnded
{
  ExchangePtr m_exchange;
  std::string m_endpoint;
  /** Empty if the complete answer was received. */
  std::optional<ErrorKind> m_error;
  /** Time from the first sent byte to the end. Zero if nothing was sent. */
  std::chrono::nanoseconds m_serviceTime{};
};

/** The result of a lease call. Without an answer, the call has failed. */
struct LeaseResult
{
  std::string m_endpoint;
  LeaseCall m_call;
  std::optional<LeaseAnswer> m_answer;
};

/** A command to the endpoint client. */
using EndpointCommand =
  std::variant<std::monostate, SendRequest, LeaseCallAction>;

/** An event that the endpoint client reports. */
using EndpointEvent = std::variant<std::monostate, RequestEnded, LeaseResult>;

namespace internal {
class EndpointTransfer;
} // namespace internal

/** Sends requests and lease calls to endpoints from a dedicated thread. */
class EndpointClient
{
public:
  EndpointClient(Ring<EndpointEvent>& aEvents, Millis aCallTimeout);
  ~EndpointClient();
  EndpointClient(const EndpointClient&) = delete;
  EndpointClient& operator=(const EndpointClient&) = delete;
  EndpointClient(EndpointClient&&) = delete;
  EndpointClient& operator=(EndpointClient&&) = delete;

  void Start();
  void Stop();

  /** Returns the ring from which the thread reads commands. */
  [[nodiscard]] Ring<EndpointCommand>& Commands() noexcept
  {
    return m_commands;
  }

  /** Returns the bytes of all lease calls and their answers. */
  [[nodiscard]] std::uint64_t ControlBytes() const noexcept
  {
    return m_controlBytes.load();
  }

private:
  friend class internal::EndpointTransfer;

  void Run();
  void TakeCommands();
  void TakeResumes();
  void TakeFinished();
  /** Returns an idle curl handle of an earlier transfer, or a new one. */
  [[nodiscard]] void* AcquireHandle();
  void RecycleHandle(void* aHandle);
  void Begin(std::unique_ptr<internal::EndpointTransfer> aTransfer);
  void Emit(const EndpointEvent& aEvent);
  /** Requests that the thread resumes a transfer. Thread-safe. */
  void PostResume(std::uint64_t aId);
  /** Requests that the thread cancels a transfer. Thread-safe. */
  void PostCancel(std::uint64_t aId);

  static constexpr std::size_t kRingCapacity = 16384;

  Ring<EndpointEvent>& m_events;
  Millis m_callTimeout;
  void* m_multi;
  std::vector<void*> m_handles;
  Ring<EndpointCommand> m_commands;
  std::unordered_map<std::uint64_t, std::unique_ptr<internal::EndpointTransfer>>
    m_transfers;
  /** Whether the last lease call to an endpoint failed. The next call then
     opens a new connection. */
  std::unordered_map<std::string, bool> m_needsFreshConnection;
  std::uint64_t m_lastId = 0;
  std::mutex m_mutex;
  std::vector<std::uint64_t> m_resumes;
  std::vector<std::uint64_t> m_cancels;
  std::atomic<std::uint64_t> m_controlBytes{ 0 };
  Worker m_worker;
};

} // namespace sapphirehook

#endif
