#include "sapphirehook/endpoint/client.hpp"

#include "sapphirehook/core/text.hpp"
#include "sapphirehook/endpoint/grant.hpp"

#include <algorithm>
#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace sapphirehook {

namespace {

constexpr long kMaxConnectionsPerEndpoint = 110;
constexpr long kConnectTimeoutMs = 300;
constexpr std::size_t kMaxIdleHandles = 256;
constexpr long kReceiveBufferBytes = 65536;
constexpr int kKeepAliveSeconds = 1;
constexpr int kKeepAliveProbes = 3;
constexpr int kUnacknowledgedMs = 3000;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr int kFirstFinalStatus = 200;

/** Sets keepalive probes and TCP_USER_TIMEOUT, so that a connection to an
    unresponsive endpoint fails within a few seconds. */
int
SetSocketOptions(void* /*aContext*/, curl_socket_t aSocket, curlsocktype)
{
  const int on = 1;
  setsockopt(aSocket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(aSocket,
             IPPROTO_TCP,
             TCP_KEEPIDLE,
             &kKeepAliveSeconds,
             sizeof(kKeepAliveSeconds));
  setsockopt(aSocket,
             IPPROTO_TCP,
             TCP_KEEPINTVL,
             &kKeepAliveSeconds,
             sizeof(kKeepAliveSeconds));
  setsockopt(aSocket,
             IPPROTO_TCP,
             TCP_KEEPCNT,
             &kKeepAliveProbes,
             sizeof(kKeepAliveProbes));
  setsockopt(aSocket,
             IPPROTO_TCP,
             TCP_USER_TIMEOUT,
             &kUnacknowledgedMs,
             sizeof(kUnacknowledgedMs));
  return CURL_SOCKOPT_OK;
}

std::string_view
Trimmed(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) {
    return {};
  }
  const auto last = aText.find_last_not_of(" \t\r\n");
  return aText.substr(first, last - first + 1);
}

} // namespace

namespace internal {

/** One request or lease call in flight. */
class EndpointTransfer
{
public:
  EndpointTransfer(EndpointClient& aClient,
                   std::uint64_t aId,
                   SendRequest aRequest)
    : m_client(aClient)
    , m_id(aId)
    , m_request(std::move(aRequest))
  {
    Open();
    SetUpRequest();
  }

  EndpointTransfer(EndpointClient& aClient,
                   std::uint64_t aId,
                   LeaseCallAction aCall,
                   bool aFreshConnection)
    : m_client(aClient)
    , m_id(aId)
    , m_call(std::move(aCall))
  {
    Open();
    SetUpCall(aFreshConnection);
  }

  ~EndpointTransfer()
  {
    m_client.RecycleHandle(m_easy);
    curl_slist_free_all(m_headers);
  }

  EndpointTransfer(const EndpointTransfer&) = delete;
  EndpointTransfer& operator=(const EndpointTransfer&) = delete;
  EndpointTransfer(EndpointTransfer&&) = delete;
  EndpointTransfer& operator=(EndpointTransfer&&) = delete;

  [[nodiscard]] CURL* Handle() const { return m_easy; }
  [[nodiscard]] std::uint64_t Id() const { return m_id; }

  /** Ends the transfer and returns the event that reports its result. */
  EndpointEvent Finish(CURLcode aCode)
  {
    if (m_call) {
      return FinishCall(aCode);
    }
    return FinishRequest(aCode);
  }

private:
  void Open()
  {
    m_easy = m_client.AcquireHandle();
    curl_easy_setopt(m_easy, CURLOPT_PRIVATE, this);
    curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_easy, CURLOPT_PROXY, "");
    curl_easy_setopt(m_easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(m_easy, CURLOPT_SOCKOPTFUNCTION, SetSocketOptions);
    curl_easy_setopt(m_easy, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
    curl_easy_setopt(m_easy, CURLOPT_PREREQFUNCTION, OnBeforeSend);
    curl_easy_setopt(m_easy, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, OnBody);
    curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  }

  void AddHeader(const std::string& aLine)
  {
    m_headers = curl_slist_append(m_headers, aLine.c_str());
  }

  void SetUpRequest()
  {
    auto& exchange = *m_request.m_exchange;
    const auto& head = exchange.Head();
    const auto url = Concat("http://", m_request.m_address, head.m_target);
    curl_easy_setopt(m_easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(m_easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(m_easy, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
    curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, OnHeader);
    curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, this);
    if (head.m_hasBody) {
      SetUpBody(head);
    } else if (head.m_method == "HEAD") {
      curl_easy_setopt(m_easy, CURLOPT_NOBODY, 1L);
    } else {
      curl_easy_setopt(m_easy, CURLOPT_HTTPGET, 1L);
    }
    curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, head.m_method.c_str());
    for (const auto& header : head.m_headers) {
      if (!IsHopByHopHeader(header.m_name)) {
        AddHeader(header.m_value.empty()
                    ? header.m_name + ";"
                    : Concat(header.m_name, ": ", header.m_value));
      }
    }
    const auto remaining =
      std::max(Millis(1),
               std::chrono::duration_cast<Millis>(exchange.m_plan.m_deadline -
                                                  BootClock::now()));
    AddHeader("Expect:");
    AddHeader("Sapphirehook-Fence: " + ToString(m_request.m_fence));
    AddHeader(Concat("Sapphirehook-Partition: ", m_request.m_partition));
    AddHeader(Concat("Sapphirehook-Deadline-Ms: ", remaining.count()));
    curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headers);
    curl_easy_setopt(
      m_easy, CURLOPT_TIMEOUT_MS, static_cast<long>(remaining.count()));
    exchange.OnCancel(
      [&client = m_client, id = m_id] { client.PostCancel(id); });
  }

  void SetUpBody(const RequestHead& aHead)
  {
    curl_easy_setopt(m_easy, CURLOPT_UPLOAD, 1L);
    curl_easy_setopt(m_easy, CURLOPT_READFUNCTION, OnRead);
    curl_easy_setopt(m_easy, CURLOPT_READDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_SEEKFUNCTION, OnSeek);
    curl_easy_setopt(m_easy, CURLOPT_SEEKDATA, this);
    if (aHead.m_bodySize) {
      curl_easy_setopt(m_easy,
                       CURLOPT_INFILESIZE_LARGE,
                       static_cast<curl_off_t>(*aHead.m_bodySize));
    }
  }

  void SetUpCall(bool aFreshConnection)
  {
    const auto path = m_call->m_call.m_withPartitions ? kGrantPath : kLeasePath;
    const bool checksGrants = m_call->m_checksGrants;
    const auto url =
      Concat("http://", m_call->m_address, checksGrants ? path : "/");
    curl_easy_setopt(m_easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(m_easy,
                     CURLOPT_TIMEOUT_MS,
                     static_cast<long>(m_client.m_callTimeout.count()));
    curl_easy_setopt(m_easy, CURLOPT_FRESH_CONNECT, aFreshConnection ? 1L : 0L);
    if (!checksGrants) {
      curl_easy_setopt(m_easy, CURLOPT_NOBODY, 1L);
      return;
    }
    m_callBody = EncodeLeaseCall(*m_call);
    curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, m_callBody.data());
    curl_easy_setopt(
      m_easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(m_callBody.size()));
    const bool grant = m_call->m_call.m_withPartitions;
    curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, grant ? "PUT" : "POST");
    AddHeader("Content-Type: application/json");
    AddHeader("Expect:");
    AddHeader("Accept:");
    curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headers);
  }

  /** Checks the authority immediately before the first byte is sent. Also
      prevents curl from resending a never-repeat request. */
  static int OnBeforeSend(void* aSelf, char*, char*, int, int)
  {
    auto& self = *static_cast<EndpointTransfer*>(aSelf);
    const auto now = BootClock::now();
    if (self.m_call) {
      const bool authorized = now < self.m_call->m_authorityUntil;
      return authorized ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
    }
    const auto& request = self.m_request;
    const auto until = request.m_authority->m_until.load();
    self.m_authorityExpired = now.time_since_epoch().count() >= until;
    const bool resent =
      self.m_sent && request.m_exchange->m_plan.m_rule.m_neverRepeat;
    if (self.m_authorityExpired || resent) {
      return CURL_PREREQFUNC_ABORT;
    }
    if (!self.m_sent) {
      self.m_sent = true;
      self.m_sentAt = now;
    }
    return CURL_PREREQFUNC_OK;
  }

  static std::size_t OnRead(char* aBuffer,
                            std::size_t aSize,
                            std::size_t aCount,
                            void* aSelf)
  {
    auto& self = *static_cast<EndpointTransfer*>(aSelf);
    auto& pipe = self.m_request.m_exchange->RequestBody();
    const auto result = pipe.Read(
      aBuffer,
      aSize * aCount,
      [] {},
      [&client = self.m_client, id = self.m_id] { client.PostResume(id); });
    if (result.m_bytes > 0) {
      return result.m_bytes;
    }
    if (result.m_end == PipeEnd::Open) {
      return CURL_READFUNC_PAUSE;
    }
    return result.m_end == PipeEnd::Complete ? 0 : CURL_READFUNC_ABORT;
  }

  static int OnSeek(void* aSelf, curl_off_t aOffset, int aOrigin)
  {
    auto& self = *static_cast<EndpointTransfer*>(aSelf);
    const bool toStart = aOffset == 0 && aOrigin == SEEK_SET;
    const bool rewound =
      toStart && self.m_request.m_exchange->RequestBody().Rewind();
    return rewound ? CURL_SEEKFUNC_OK : CURL_SEEKFUNC_FAIL;
  }

  static std::size_t OnHeader(char* aData,
                              std::size_t aSize,
                              std::size_t aCount,
                              void* aSelf)
  {
    auto& self = *static_cast<EndpointTransfer*>(aSelf);
    const std::string_view line(aData, aSize * aCount);
    if (line.starts_with("HTTP/")) {
      self.m_head = {};
      return line.size();
    }
    const auto text = Trimmed(line);
    if (text.empty()) {
      self.OnHeadEnd();
      return line.size();
    }
    const auto colon = text.find(':');
    if (colon != std::string_view::npos) {
      self.m_head.m_headers.push_back(
        { std::string(Trimmed(text.substr(0, colon))),
          std::string(Trimmed(text.substr(colon + 1))) });
    }
    return line.size();
  }

  void OnHeadEnd()
  {
    long status = 0;
    curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
    if (status < kFirstFinalStatus || m_headDone) {
      return;
    }
    m_headDone = true;
    m_head.m_status = static_cast<int>(status);
    const auto* outcome = FindHeader(m_head.m_headers, "Sapphirehook-Outcome");
    const bool refusing = status == kMisdirected || status == kUnavailable;
    m_refused = refusing && outcome != nullptr && *outcome == "not-run";
    if (m_refused) {
      return;
    }
    const auto* length = FindHeader(m_head.m_headers, "Content-Length");
    if (length != nullptr) {
      m_head.m_bodySize = std::strtoull(length->c_str(), nullptr, 10);
    }
    std::erase_if(m_head.m_headers, [](const Header& aHeader) {
      return IsHopByHopHeader(aHeader.m_name);
    });
    m_request.m_exchange->Respond(m_head);
  }

  static std::size_t OnBody(char* aData,
                            std::size_t aSize,
                            std::size_t aCount,
                            void* aSelf)
  {
    auto& self = *static_cast<EndpointTransfer*>(aSelf);
    const std::string_view bytes(aData, aSize * aCount);
    if (self.m_call) {
      constexpr std::size_t kMaxCallAnswerBytes = 65536;
      self.m_callAnswer += bytes;
      return self.m_callAnswer.size() > kMaxCallAnswerBytes ? 0 : bytes.size();
    }
    if (self.m_refused) {
      return bytes.size();
    }
    const bool written = self.m_request.m_exchange->ResponseBody().WriteWhole(
      bytes,
      [&client = self.m_client, id = self.m_id] { client.PostResume(id); });
    return written ? bytes.size() : CURL_WRITEFUNC_PAUSE;
  }

  EndpointEvent FinishCall(CURLcode aCode)
  {
    LeaseResult result{ m_call->m_endpoint, m_call->m_call, std::nullopt };
    long sent = 0;
    long received = 0;
    curl_easy_getinfo(m_easy, CURLINFO_REQUEST_SIZE, &sent);
    curl_easy_getinfo(m_easy, CURLINFO_HEADER_SIZE, &received);
    m_client.m_controlBytes.fetch_add(
      m_callAnswer.size() + static_cast<std::uint64_t>(sent + received));
    long status = 0;
    curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
    constexpr long kOk = 200;
    if (aCode == CURLE_OK && !m_call->m_checksGrants) {
      result.m_answer = LeaseAnswer{ "unchecked", Millis(0), true, false, {} };
    } else if (aCode == CURLE_OK && status == kOk) {
      const auto answer = ParseLeaseAnswer(m_callAnswer);
      if (answer.ok()) {
        result.m_answer = *answer;
      }
    }
    return result;
  }

  [[nodiscard]] std::optional<ErrorKind> ErrorOf(CURLcode aCode) const
  {
    if (m_refused) {
      return ErrorKind::EndpointRefused;
    }
    if (aCode == CURLE_OK) {
      return std::nullopt;
    }
    if (!m_sent) {
      return m_authorityExpired ? ErrorKind::NoAuthority
                                : ErrorKind::EndpointUnreachable;
    }
    if (m_headDone) {
      return ErrorKind::AnswerCut;
    }
    return aCode == CURLE_OPERATION_TIMEDOUT ? ErrorKind::AnswerTimeout
                                             : ErrorKind::SendInterrupted;
  }

  EndpointEvent FinishRequest(CURLcode aCode)
  {
    auto& exchange = *m_request.m_exchange;
    exchange.OnCancel(nullptr);
    const auto error = ErrorOf(aCode);
    if (!error) {
      exchange.ResponseBody().Close(PipeEnd::Complete);
    }
    const auto serviceTime =
      m_sent ? BootClock::now() - m_sentAt : std::chrono::nanoseconds{};
    return RequestEnded{
      m_request.m_exchange, m_request.m_endpoint, error, serviceTime
    };
  }

  EndpointClient& m_client;
  std::uint64_t m_id;
  CURL* m_easy = nullptr;
  curl_slist* m_headers = nullptr;
  SendRequest m_request;
  std::optional<LeaseCallAction> m_call;
  std::string m_callBody;
  std::string m_callAnswer;
  ResponseHead m_head;
  bool m_headDone = false;
  bool m_refused = false;
  bool m_sent = false;
  bool m_authorityExpired = false;
  TimePoint m_sentAt{};
};

} // namespace internal

EndpointClient::EndpointClient(Ring<EndpointEvent>& aEvents,
                               Millis aCallTimeout)
  : m_events(aEvents)
  , m_callTimeout(aCallTimeout)
  , m_multi(curl_multi_init())
  , m_commands(kRingCapacity, [this] { curl_multi_wakeup(m_multi); })
{
  curl_multi_setopt(
    m_multi, CURLMOPT_MAX_HOST_CONNECTIONS, kMaxConnectionsPerEndpoint);
  curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

EndpointClient::~EndpointClient()
{
  Stop();
  for (const auto& [id, transfer] : m_transfers) {
    curl_multi_remove_handle(m_multi, transfer->Handle());
  }
  m_transfers.clear();
  for (auto* handle : m_handles) {
    curl_easy_cleanup(handle);
  }
  curl_multi_cleanup(m_multi);
}

void
EndpointClient::Start()
{
  m_worker.Start("endpoints", [this] { Run(); });
}

void
EndpointClient::Stop()
{
  curl_multi_wakeup(m_multi);
  m_worker.Stop();
}

void
EndpointClient::PostResume(std::uint64_t aId)
{
  {
    const std::lock_guard lock(m_mutex);
    m_resumes.push_back(aId);
  }
  curl_multi_wakeup(m_multi);
}

void
EndpointClient::PostCancel(std::uint64_t aId)
{
  {
    const std::lock_guard lock(m_mutex);
    m_cancels.push_back(aId);
  }
  curl_multi_wakeup(m_multi);
}

void
EndpointClient::Emit(const EndpointEvent& aEvent)
{
  constexpr Millis kFullRingWait{ 1 };
  while (!m_events.Push(aEvent) && !m_worker.IsStopping()) {
    m_worker.SleepFor(kFullRingWait);
  }
}

void*
EndpointClient::AcquireHandle()
{
  if (m_handles.empty()) {
    return curl_easy_init();
  }
  auto* handle = m_handles.back();
  m_handles.pop_back();
  return handle;
}

void
EndpointClient::RecycleHandle(void* aHandle)
{
  if (m_handles.size() >= kMaxIdleHandles) {
    curl_easy_cleanup(aHandle);
    return;
  }
  curl_easy_reset(aHandle);
  m_handles.push_back(aHandle);
}

void
EndpointClient::Begin(std::unique_ptr<internal::EndpointTransfer> aTransfer)
{
  curl_multi_add_handle(m_multi, aTransfer->Handle());
  const auto id = aTransfer->Id();
  m_transfers[id] = std::move(aTransfer);
}

void
EndpointClient::TakeCommands()
{
  while (auto command = m_commands.Pop()) {
    const auto id = ++m_lastId;
    if (auto* request = std::get_if<SendRequest>(&*command)) {
      Begin(std::make_unique<internal::EndpointTransfer>(
        *this, id, std::move(*request)));
    } else if (auto* call = std::get_if<LeaseCallAction>(&*command)) {
      const bool freshConnection = m_needsFreshConnection[call->m_endpoint];
      Begin(std::make_unique<internal::EndpointTransfer>(
        *this, id, std::move(*call), freshConnection));
    }
  }
}

void
EndpointClient::TakeResumes()
{
  std::vector<std::uint64_t> resumes;
  std::vector<std::uint64_t> cancels;
  {
    const std::lock_guard lock(m_mutex);
    resumes.swap(m_resumes);
    cancels.swap(m_cancels);
  }
  for (const auto id : resumes) {
    const auto found = m_transfers.find(id);
    if (found != m_transfers.end()) {
      curl_easy_pause(found->second->Handle(), CURLPAUSE_CONT);
    }
  }
  for (const auto id : cancels) {
    const auto found = m_transfers.find(id);
    if (found == m_transfers.end()) {
      continue;
    }
    const auto transfer = std::move(found->second);
    m_transfers.erase(found);
    curl_multi_remove_handle(m_multi, transfer->Handle());
    Emit(transfer->Finish(CURLE_ABORTED_BY_CALLBACK));
  }
}

void
EndpointClient::TakeFinished()
{
  int remaining = 0;
  while (const CURLMsg* message = curl_multi_info_read(m_multi, &remaining)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const CURLcode code = message->data.result;
    internal::EndpointTransfer* done = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &done);
    const auto found = m_transfers.find(done->Id());
    const auto transfer = std::move(found->second);
    m_transfers.erase(found);
    curl_multi_remove_handle(m_multi, transfer->Handle());
    const auto event = transfer->Finish(code);
    if (const auto* lease = std::get_if<LeaseResult>(&event)) {
      m_needsFreshConnection[lease->m_endpoint] = !lease->m_answer.has_value();
    }
    Emit(event);
  }
}

void
EndpointClient::Run()
{
  constexpr int kIdleMs = 1000;
  while (!m_worker.IsStopping()) {
    TakeCommands();
    TakeResumes();
    int running = 0;
    curl_multi_perform(m_multi, &running);
    TakeFinished();
    curl_multi_poll(m_multi, nullptr, 0, kIdleMs, nullptr);
  }
}

} // namespace sapphirehook
