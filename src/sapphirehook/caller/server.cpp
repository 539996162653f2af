#include "sapphirehook/caller/server.hpp"

#include "sapphirehook/core/address.hpp"
#include "sapphirehook/core/text.hpp"

#include <microhttpd.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sapphirehook {

namespace {

constexpr std::size_t kBlockBytes = 32768;
constexpr Millis kWatchInterval{ 200 };

std::string
ErrorBody(ErrorKind aKind)
{
  return Concat("{\"error\":\"",
                AnswerFor(aKind).m_name,
                "\",\"outcome\":\"",
                OutcomeOf(aKind),
                "\"}\n");
}

} // namespace

namespace internal {

/** One request on the callers' port. MHD's thread calls the member functions,
    except for CancelIfClosed(), which the watcher thread calls. The resume
    callbacks may run on any thread. */
class CallerCall : public std::enable_shared_from_this<CallerCall>
{
public:
  CallerCall(CallerServer& aServer, MHD_Connection* aConnection)
    : m_server(aServer)
    , m_connection(aConnection)
  {
    m_server.m_inFlight.fetch_add(1);
  }

  ~CallerCall() { m_server.m_inFlight.fetch_sub(1); }

  CallerCall(const CallerCall&) = delete;
  CallerCall& operator=(const CallerCall&) = delete;
  CallerCall(CallerCall&&) = delete;
  CallerCall& operator=(CallerCall&&) = delete;

  /** Creates the exchange from the request's head and passes it to the decision
      thread. */
  MHD_Result Begin(const char* aTarget, const char* aMethod)
  {
    RequestHead head;
    head.m_method = aMethod;
    head.m_target = aTarget;
    MHD_get_connection_values(
      m_connection, MHD_HEADER_KIND, OnHeader, &head.m_headers);
    const auto* length = FindHeader(head.m_headers, "Content-Length");
    const auto* coding = FindHeader(head.m_headers, "Transfer-Encoding");
    if (length != nullptr) {
      head.m_bodySize = std::strtoull(length->c_str(), nullptr, 10);
    }
    head.m_hasBody = coding != nullptr || head.m_bodySize.value_or(0) > 0;
    m_exchange =
      std::make_shared<Exchange>(++m_server.m_lastId, std::move(head));
    if (m_server.m_closing.load()) {
      m_exchange->Fail(ErrorKind::Stopping);
    } else if (!m_server.m_exchanges.Push(m_exchange)) {
      m_exchange->Fail(ErrorKind::Overloaded);
    }
    return MHD_YES;
  }

  /** Handles a part of the body. An empty part marks the end of the body. */
  MHD_Result OnBody(const char* aData, std::size_t* aSize)
  {
    auto& pipe = m_exchange->RequestBody();
    if (*aSize == 0) {
      pipe.Close(PipeEnd::Complete);
      return AwaitAnswer();
    }
    const auto taken = pipe.Write(
      { aData, *aSize }, [this] { Suspend(); }, MakeResumeCallback());
    *aSize -= taken;
    return MHD_YES;
  }

  /** Ends the call. The connection is not valid afterwards. */
  void End(bool aComplete)
  {
    {
      const std::lock_guard lock(m_mutex);
      m_connection = nullptr;
    }
    Unwatch();
    if (!aComplete) {
      m_exchange->Cancel();
    }
    m_exchange->ResponseBody().Discard();
  }

  /** Cancels the request if the caller has closed its connection. */
  void CancelIfClosed(int aSocket)
  {
    pollfd descriptor{ aSocket, POLLRDHUP, 0 };
    const bool closed = poll(&descriptor, 1, 0) > 0 &&
                        (descriptor.revents & (POLLRDHUP | POLLHUP)) != 0;
    if (closed) {
      m_exchange->Cancel();
      m_exchange->Fail(ErrorKind::Canceled);
    }
  }

private:
  static MHD_Result OnHeader(void* aHeaders,
                             MHD_ValueKind /*aKind*/,
                             const char* aName,
                             const char* aValue)
  {
    static_cast<std::vector<Header>*>(aHeaders)->push_back(
      { aName, aValue == nullptr ? "" : aValue });
    return MHD_YES;
  }

  void Suspend()
  {
    const std::lock_guard lock(m_mutex);
    m_suspended = true;
    MHD_suspend_connection(m_connection);
  }

  std::function<void()> MakeResumeCallback()
  {
    return [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      const std::lock_guard lock(self->m_mutex);
      if (self->m_connection != nullptr && self->m_suspended) {
        self->m_suspended = false;
        MHD_resume_connection(self->m_connection);
      }
    };
  }

  MHD_Result AwaitAnswer()
  {
    const bool answered =
      m_exchange->AwaitAnswer([this] { Suspend(); }, MakeResumeCallback());
    if (!answered) {
      Watch();
      return MHD_YES;
    }
    Unwatch();
    return Answer();
  }

  void Watch()
  {
    const auto* info =
      MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    m_socket = info->connect_fd;
    const std::lock_guard lock(m_server.m_mutex);
    m_server.m_waiting[m_socket] = weak_from_this();
  }

  void Unwatch()
  {
    if (m_socket >= 0) {
      const std::lock_guard lock(m_server.m_mutex);
      m_server.m_waiting.erase(m_socket);
      m_socket = -1;
    }
  }

  MHD_Result Answer()
  {
    const auto response = m_exchange->Response();
    return response ? AnswerWith(*response) : AnswerError();
  }

  MHD_Result AnswerWith(const ResponseHead& aHead)
  {
    const auto size = aHead.m_bodySize.value_or(MHD_SIZE_UNKNOWN);
    auto* self = new std::shared_ptr<CallerCall>(shared_from_this());
    auto* response =
      MHD_create_response_from_callback(size, kBlockBytes, Read, self, Free);
    for (const auto& header : aHead.m_headers) {
      MHD_add_response_header(
        response, header.m_name.c_str(), header.m_value.c_str());
    }
    return Queue(aHead.m_status, response);
  }

  MHD_Result AnswerError()
  {
    const auto kind =
      m_exchange->Failure().value_or(ErrorKind::SendInterrupted);
    const auto body = ErrorBody(kind);
    auto* response = MHD_create_response_from_buffer(
      body.size(), const_cast<char*>(body.data()), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(
      response, "Sapphirehook-Outcome", std::string(OutcomeOf(kind)).c_str());
    MHD_add_response_header(response,
                            "Sapphirehook-Error",
                            std::string(AnswerFor(kind).m_name).c_str());
    MHD_add_response_header(
      response, MHD_HTTP_HEADER_CONTENT_TYPE, "application/json");
    return Queue(AnswerFor(kind).m_status, response);
  }

  MHD_Result Queue(int aStatus, MHD_Response* aResponse)
  {
    if (m_server.m_closing.load()) {
      MHD_add_response_header(aResponse, "Connection", "close");
    }
    const auto result = MHD_queue_response(
      m_connection, static_cast<unsigned>(aStatus), aResponse);
    MHD_destroy_response(aResponse);
    return result;
  }

  static ssize_t Read(void* aSelf,
                      std::uint64_t /*aPosition*/,
                      char* aBuffer,
                      std::size_t aSize)
  {
    auto& self = **static_cast<std::shared_ptr<CallerCall>*>(aSelf);
    const auto result = self.m_exchange->ResponseBody().Read(
      aBuffer, aSize, [&self] { self.Suspend(); }, self.MakeResumeCallback());
    if (result.m_bytes > 0) {
      return static_cast<ssize_t>(result.m_bytes);
    }
    if (result.m_end == PipeEnd::Open) {
      return 0;
    }
    return result.m_end == PipeEnd::Complete
             ? MHD_CONTENT_READER_END_OF_STREAM
             : MHD_CONTENT_READER_END_WITH_ERROR;
  }

  static void Free(void* aSelf)
  {
    delete static_cast<std::shared_ptr<CallerCall>*>(aSelf);
  }

  CallerServer& m_server;
  std::mutex m_mutex;
  MHD_Connection* m_connection;
  bool m_suspended = false;
  int m_socket = -1;
  ExchangePtr m_exchange;
};

} // namespace internal

namespace {

using CallPtr = std::shared_ptr<internal::CallerCall>;

MHD_Result
OnRequest(void* aServer,
          MHD_Connection* aConnection,
          const char* /*aPath*/,
          const char* aMethod,
          const char* /*aVersion*/,
          const char* aData,
          std::size_t* aSize,
          void** aContext)
{
  auto& server = *static_cast<CallerServer*>(aServer);
  if (*aContext == nullptr) {
    return MHD_NO;
  }
  auto* context = static_cast<std::pair<std::string, CallPtr>*>(*aContext);
  if (!context->second) {
    context->second =
      std::make_shared<internal::CallerCall>(server, aConnection);
    return context->second->Begin(context->first.c_str(), aMethod);
  }
  return context->second->OnBody(aData, aSize);
}

/** Stores the request target as received, because MHD decodes it later. */
void*
OnTarget(void* /*aServer*/, const char* aTarget, MHD_Connection*)
{
  return new std::pair<std::string, CallPtr>(aTarget, nullptr);
}

void
OnCompleted(void* /*aServer*/,
            MHD_Connection* /*aConnection*/,
            void** aContext,
            MHD_RequestTerminationCode aCode)
{
  auto* context = static_cast<std::pair<std::string, CallPtr>*>(*aContext);
  if (context == nullptr) {
    return;
  }
  if (context->second) {
    context->second->End(aCode == MHD_REQUEST_TERMINATED_COMPLETED_OK);
  }
  delete context;
  *aContext = nullptr;
}

} // namespace

CallerServer::CallerServer(Ring<ExchangePtr>& aExchanges,
                           CallerPortLimits aLimits)
  : m_exchanges(aExchanges)
  , m_limits(aLimits)
{
}

CallerServer::~CallerServer()
{
  Stop();
}

absl::Status
CallerServer::Start(const std::string& aAddress)
{
  const auto address = ParseAddress(aAddress);
  if (!address.ok()) {
    return address.status();
  }
  const auto socketAddress = ToSocketAddress(*address);
  m_daemon =
    MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
                     address->m_port,
                     nullptr,
                     nullptr,
                     OnRequest,
                     this,
                     MHD_OPTION_SOCK_ADDR,
                     reinterpret_cast<const sockaddr*>(&socketAddress),
                     MHD_OPTION_CONNECTION_LIMIT,
                     m_limits.m_connections,
                     MHD_OPTION_PER_IP_CONNECTION_LIMIT,
                     m_limits.m_connectionsPerAddress,
                     MHD_OPTION_CONNECTION_TIMEOUT,
                     static_cast<unsigned>(m_limits.m_idle.count()),
                     MHD_OPTION_URI_LOG_CALLBACK,
                     OnTarget,
                     this,
                     MHD_OPTION_NOTIFY_COMPLETED,
                     OnCompleted,
                     this,
                     MHD_OPTION_LISTENING_ADDRESS_REUSE,
                     1U,
                     MHD_OPTION_END);
  if (m_daemon == nullptr) {
    return absl::UnavailableError(
      Concat("cannot listen on ", aAddress, " for callers"));
  }
  m_watcher.Start("callers-watch", [this] { WatchCallers(); });
  return absl::OkStatus();
}

void
CallerServer::BeginStop()
{
  m_closing = true;
  if (m_daemon != nullptr && m_listener < 0) {
    m_listener = MHD_quiesce_daemon(m_daemon);
  }
}

void
CallerServer::Stop()
{
  m_watcher.Stop();
  if (m_daemon != nullptr) {
    MHD_stop_daemon(m_daemon);
    m_daemon = nullptr;
  }
  if (m_listener >= 0) {
    close(m_listener);
    m_listener = -1;
  }
}

void
CallerServer::WatchCallers()
{
  while (!m_watcher.IsStopping()) {
    std::vector<std::pair<int, CallPtr>> waiting;
    {
      const std::lock_guard lock(m_mutex);
      for (const auto& [socket, call] : m_waiting) {
        if (auto locked = call.lock()) {
          waiting.emplace_back(socket, std::move(locked));
        }
      }
    }
    for (const auto& [socket, call] : waiting) {
      call->CancelIfClosed(socket);
    }
    waiting.clear();
    m_watcher.SleepFor(kWatchInterval);
  }
}

} // namespace sapphirehook
