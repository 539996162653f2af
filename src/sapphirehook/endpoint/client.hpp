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

/** Moment up to which requests may be sent to an endpoint, kept up to date by
    the decision thread and read right before each send. */
struct AuthorityCell
{
  std::atomic<TimePoint::rep> m_until{ 0 };
};

/** Send a request to an endpoint. */
struct SendRequest
{
  ExchangePtr m_exchange;
  std::string m_endpoint;
  std::string m_address;
  FencingToken m_fence;
  std::uint64_t m_partition = 0;
  std::shared_ptr<AuthorityCell> m_authority;
};

/** A request has ended at an endpoint, or was never sent. */
struct RequestEnded
{
  ExchangePtr m_exchange;
  std::string m_endpoint;
  /** Empty when the endpoint has answered in full. */
  std::optional<ErrorKind> m_error;
  /** From the first byte sent to the end. */
  std::chrono::nanoseconds m_served{};
};

/** A lease call was answered, or not. */
struct LeaseResult
{
  std::string m_endpoint;
  LeaseCall m_call;
  std::optional<LeaseAnswer> m_answer;
};

/** Work for the endpoint client. */
using EndpointCommand =
  std::variant<std::monostate, SendRequest, LeaseCallAction>;

/** Results of the endpoint client. */
using EndpointEvent = std::variant<std::monostate, RequestEnded, LeaseResult>;

namespace internal {
class EndpointTransfer;
} // namespace internal

/** Sends requests and lease calls to endpoints on a thread of its own. */
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

  /** Returns the ring that the thread takes work from. */
  [[nodiscard]] Ring<EndpointCommand>& Commands() noexcept
  {
    return m_commands;
  }

  /** Returns the bytes of lease calls and their answers. */
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
  /** Returns a cleared handle, kept from an ended transfer where there is one.
   */
  [[nodiscard]] void* TakeHandle();
  void KeepHandle(void* aHandle);
  void Begin(std::unique_ptr<internal::EndpointTransfer> aTransfer);
  void Emit(const EndpointEvent& aEvent);
  /** Asks the thread to look at a transfer again. Callable anywhere. */
  void PostResume(std::uint64_t aId);
  /** Asks the thread to end a transfer. Callable anywhere. */
  void PostCancel(std::uint64_t aId);

  static constexpr std::size_t kRingCapacity = 16384;

  Ring<EndpointEvent>& m_events;
  Millis m_callTimeout;
  void* m_multi;
  std::vector<void*> m_handles;
  Ring<EndpointCommand> m_commands;
  std::unordered_map<std::uint64_t, std::unique_ptr<internal::EndpointTransfer>>
    m_transfers;
  /** Endpoints whose last lease call failed: the next one opens a connection
      of its own. */
  std::unordered_map<std::string, bool> m_freshCall;
  std::uint64_t m_lastId = 0;
  std::mutex m_mutex;
  std::vector<std::uint64_t> m_resumes;
  std::vector<std::uint64_t> m_cancels;
  std::atomic<std::uint64_t> m_controlBytes{ 0 };
  Worker m_worker;
};

} // namespace sapphirehook

#endif
