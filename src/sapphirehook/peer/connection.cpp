#include "sapphirehook/peer/connection.hpp"

#include "sapphirehook/core/text.hpp"
#include "sapphirehook/peer/header_block.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <sys/socket.h>
#include <unistd.h>

namespace sapphirehook::internal {

namespace {

constexpr std::string_view kMessageAuthority = "message";
constexpr std::string_view kRequestAuthority = "request";
constexpr std::string_view kErrorHeader = "sapphirehook-error";
constexpr std::string_view kDeadlineHeader = "sapphirehook-left-ms";
constexpr std::string_view kBodySizeHeader = "sapphirehook-body-size";
constexpr std::uint32_t kMaxStreams = 20000;
constexpr std::int32_t kConnectionWindowBytes = 1 << 27;
constexpr std::size_t kReadBytes = 65536;
constexpr std::size_t kMaxOutBytes = std::size_t{ 256 } * 1024;
constexpr std::size_t kMaxMessageBytes = std::size_t{ 64 } * 1024 * 1024;
constexpr std::size_t kMaxHeaders = 256;
constexpr Millis kPingInterval{ 250 };
constexpr Millis kUnresponsiveTimeout{ 1000 };
constexpr int kMessageStatus = 200;

std::optional<std::uint64_t>
ParseNumber(const std::string& aText)
{
  std::uint64_t number = 0;
  const auto* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::optional<std::uint64_t>
HeaderNumber(const std::vector<Header>& aHeaders, std::string_view aName)
{
  const auto* value = FindHeader(aHeaders, aName);
  return value == nullptr ? std::nullopt : ParseNumber(*value);
}

} // namespace

nghttp2_session_callbacks*
PeerConnection::Callbacks()
{
  static nghttp2_session_callbacks* const callbacks = [] {
    nghttp2_session_callbacks* created = nullptr;
    nghttp2_session_callbacks_new(&created);
    nghttp2_session_callbacks_set_on_begin_headers_callback(created,
                                                            OnBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(created, OnHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(created, OnData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(created, OnFrame);
    nghttp2_session_callbacks_set_on_frame_send_callback(created, OnFrameSent);
    nghttp2_session_callbacks_set_on_stream_close_callback(created, OnClose);
    return created;
  }();
  return callbacks;
}

PeerConnection::PeerConnection(PeerMesh& aMesh,
                               std::uint64_t aId,
                               int aSocket,
                               std::string aAddress)
  : m_mesh(aMesh)
  , m_id(aId)
  , m_socket(aSocket)
  , m_address(std::move(aAddress))
  , m_lastReceived(BootClock::now())
{
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_auto_window_update(option, 1);
  nghttp2_option_set_peer_max_concurrent_streams(option, kMaxStreams);
  if (m_address.empty()) {
    nghttp2_session_server_new2(&m_session, Callbacks(), this, option);
  } else {
    nghttp2_session_client_new2(&m_session, Callbacks(), this, option);
  }
  nghttp2_option_del(option);
  const std::array<nghttp2_settings_entry, 2> settings{
    { { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams },
      { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
        static_cast<std::uint32_t>(kPipeCapacityBytes) } }
  };
  nghttp2_submit_settings(
    m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(
    m_session, NGHTTP2_FLAG_NONE, 0, kConnectionWindowBytes);
}

PeerConnection::~PeerConnection()
{
  nghttp2_session_del(m_session);
  close(m_socket);
}

std::function<void()>
PeerConnection::MakeResumeCallback(std::int32_t aStream)
{
  return [&mesh = m_mesh, id = m_id, aStream] { mesh.PostResume(id, aStream); };
}

PeerStream*
PeerConnection::Find(std::int32_t aStream)
{
  const auto found = m_streams.find(aStream);
  return found == m_streams.end() ? nullptr : &found->second;
}

bool
PeerConnection::WantsWrite() const
{
  return !m_out.empty() || nghttp2_session_want_write(m_session) != 0;
}

bool
PeerConnection::OnReadable()
{
  std::array<std::uint8_t, kReadBytes> buffer{};
  while (true) {
    const auto received = recv(m_socket, buffer.data(), buffer.size(), 0);
    if (received == 0) {
      return false;
    }
    if (received < 0) {
      return errno == EAGAIN || errno == EINTR;
    }
    m_lastReceived = BootClock::now();
    const auto taken = nghttp2_session_mem_recv(
      m_session, buffer.data(), static_cast<std::size_t>(received));
    if (taken < 0) {
      return false;
    }
    if (static_cast<std::size_t>(received) < buffer.size()) {
      return true;
    }
  }
}

bool
PeerConnection::Flush()
{
  while (true) {
    while (m_out.size() < kMaxOutBytes) {
      const std::uint8_t* bytes = nullptr;
      const auto length = nghttp2_session_mem_send(m_session, &bytes);
      if (length < 0) {
        return false;
      }
      if (length == 0) {
        break;
      }
      m_out.append(reinterpret_cast<const char*>(bytes),
                   static_cast<std::size_t>(length));
    }
    if (m_out.empty()) {
      return true;
    }
    const auto sent = send(m_socket, m_out.data(), m_out.size(), MSG_NOSIGNAL);
    if (sent < 0) {
      return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
    }
    m_connected = true;
    m_out.erase(0, static_cast<std::size_t>(sent));
    if (!m_out.empty()) {
      return true;
    }
  }
}

void
PeerConnection::Send(std::string aMessage)
{
  HeaderBlock headers;
  headers.Add(":method", "POST");
  headers.Add(":scheme", "http");
  headers.Add(":authority", std::string(kMessageAuthority));
  headers.Add(":path", "/");
  const auto view = headers.View();
  nghttp2_data_provider provider{ {}, OnSource };
  const auto id = nghttp2_submit_request(
    m_session, nullptr, view.data(), view.size(), &provider, nullptr);
  if (id < 0) {
    return;
  }
  auto& stream = m_streams[id];
  stream.m_id = id;
  stream.m_outbound = true;
  stream.m_isMessage = true;
  stream.m_openedAt = BootClock::now();
  m_mesh.m_controlBytes.fetch_add(aMessage.size());
  m_mesh.m_controlMessages.fetch_add(1);
  stream.m_out = std::move(aMessage);
}

void
PeerConnection::Answer(std::int32_t aStream, std::string aMessage)
{
  auto* stream = Find(aStream);
  if (stream == nullptr) {
    return;
  }
  m_mesh.m_controlBytes.fetch_add(aMessage.size());
  m_mesh.m_controlMessages.fetch_add(1);
  stream->m_out = std::move(aMessage);
  HeaderBlock headers;
  headers.Add(":status", std::to_string(kMessageStatus));
  const auto view = headers.View();
  nghttp2_data_provider provider{ {}, OnSource };
  nghttp2_submit_response(
    m_session, aStream, view.data(), view.size(), &provider);
}

void
PeerConnection::Forward(const ExchangePtr& aExchange)
{
  const auto& head = aExchange->Head();
  const auto now = BootClock::now();
  const auto remaining =
    std::chrono::duration_cast<Millis>(aExchange->m_plan.m_deadline - now);
  HeaderBlock headers;
  headers.Add(":method", head.m_method);
  headers.Add(":scheme", "http");
  headers.Add(":authority", std::string(kRequestAuthority));
  headers.Add(":path", head.m_target);
  headers.Add(std::string(kDeadlineHeader),
              std::to_string(std::max<Millis::rep>(remaining.count(), 0)));
  if (head.m_bodySize) {
    headers.Add(std::string(kBodySizeHeader), std::to_string(*head.m_bodySize));
  }
  headers.AddForwarded(head.m_headers);
  const auto view = headers.View();
  nghttp2_data_provider provider{ {}, OnSource };
  const auto id = nghttp2_submit_request(m_session,
                                         nullptr,
                                         view.data(),
                                         view.size(),
                                         head.m_hasBody ? &provider : nullptr,
                                         nullptr);
  if (id < 0) {
    m_mesh.Emit(ForwardEnded{ aExchange, ErrorKind::PeerUnreachable });
    return;
  }
  auto& stream = m_streams[id];
  stream.m_id = id;
  stream.m_outbound = true;
  stream.m_exchange = aExchange;
  stream.m_openedAt = now;
  aExchange->OnCancel(MakeResumeCallback(id));
}

ssize_t
PeerConnection::ReadMessage(PeerStream& aStream,
                            char* aBuffer,
                            std::size_t aLength,
                            std::uint32_t& aFlags)
{
  const auto remaining = aStream.m_out.size() - aStream.m_outPosition;
  const auto bytes = std::min(remaining, aLength);
  aStream.m_out.copy(aBuffer, bytes, aStream.m_outPosition);
  aStream.m_outPosition += bytes;
  if (aStream.m_outPosition == aStream.m_out.size()) {
    aFlags |= NGHTTP2_DATA_FLAG_EOF;
  }
  return static_cast<ssize_t>(bytes);
}

ssize_t
PeerConnection::ReadPipe(PeerStream& aStream,
                         char* aBuffer,
                         std::size_t aLength,
                         std::uint32_t& aFlags)
{
  auto& exchange = *aStream.m_exchange;
  auto& pipe =
    aStream.m_outbound ? exchange.RequestBody() : exchange.ResponseBody();
  const auto result = pipe.Read(
    aBuffer, aLength, [] {}, MakeResumeCallback(aStream.m_id));
  if (result.m_bytes > 0) {
    return static_cast<ssize_t>(result.m_bytes);
  }
  if (result.m_end == PipeEnd::Open) {
    return NGHTTP2_ERR_DEFERRED;
  }
  if (result.m_end == PipeEnd::Aborted) {
    aStream.m_aborted = true;
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  aFlags |= NGHTTP2_DATA_FLAG_EOF;
  return 0;
}

ssize_t
PeerConnection::OnSource(nghttp2_session* /*aSession*/,
                         std::int32_t aStream,
                         std::uint8_t* aBuffer,
                         std::size_t aLength,
                         std::uint32_t* aFlags,
                         nghttp2_data_source* /*aSource*/,
                         void* aSelf)
{
  auto& self = *static_cast<PeerConnection*>(aSelf);
  auto* stream = self.Find(aStream);
  if (stream == nullptr) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  auto* buffer = reinterpret_cast<char*>(aBuffer);
  return stream->m_isMessage
           ? self.ReadMessage(*stream, buffer, aLength, *aFlags)
           : self.ReadPipe(*stream, buffer, aLength, *aFlags);
}

int
PeerConnection::OnBeginHeaders(nghttp2_session* /*aSession*/,
                               const nghttp2_frame* aFrame,
                               void* aSelf)
{
  auto& self = *static_cast<PeerConnection*>(aSelf);
  const bool request = aFrame->hd.type == NGHTTP2_HEADERS &&
                       aFrame->headers.cat == NGHTTP2_HCAT_REQUEST;
  if (request) {
    auto& stream = self.m_streams[aFrame->hd.stream_id];
    stream.m_id = aFrame->hd.stream_id;
    stream.m_openedAt = BootClock::now();
  }
  return 0;
}

int
PeerConnection::OnHeader(nghttp2_session* /*aSession*/,
                         const nghttp2_frame* aFrame,
                         const std::uint8_t* aName,
                         std::size_t aNameLength,
                         const std::uint8_t* aValue,
                         std::size_t aValueLength,
                         std::uint8_t /*aFlags*/,
                         void* aSelf)
{
  auto& self = *static_cast<PeerConnection*>(aSelf);
  auto* stream = self.Find(aFrame->hd.stream_id);
  if (stream == nullptr || stream->m_headers.size() >= kMaxHeaders) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  const std::string name(reinterpret_cast<const char*>(aName), aNameLength);
  std::string value(reinterpret_cast<const char*>(aValue), aValueLength);
  if (name == ":method") {
    stream->m_method = std::move(value);
  } else if (name == ":path") {
    stream->m_path = std::move(value);
  } else if (name == ":authority") {
    stream->m_isMessage = value == kMessageAuthority;
  } else if (name == ":status") {
    stream->m_status = std::atoi(value.c_str());
  } else if (!name.starts_with(":")) {
    stream->m_headers.push_back({ name, std::move(value) });
  }
  return 0;
}

void
PeerConnection::OnRequestHead(PeerStream& aStream, bool aEnded)
{
  if (aStream.m_isMessage) {
    return;
  }
  RequestHead head;
  head.m_method = aStream.m_method;
  head.m_target = aStream.m_path;
  head.m_headers = ForwardedHeaders(aStream.m_headers);
  head.m_bodySize = HeaderNumber(aStream.m_headers, kBodySizeHeader);
  head.m_hasBody = !aEnded;
  const auto remaining = HeaderNumber(aStream.m_headers, kDeadlineHeader);
  constexpr std::uint64_t kMaxLeftMs = 3'600'000;
  auto exchange =
    std::make_shared<Exchange>(++m_mesh.m_lastExchange, std::move(head));
  exchange->m_forwarded = true;
  exchange->m_plan.m_deadline =
    BootClock::now() + Millis(std::min(remaining.value_or(0), kMaxLeftMs));
  if (aEnded) {
    exchange->RequestBody().Close(PipeEnd::Complete);
  }
  aStream.m_exchange = exchange;
  const bool answered =
    exchange->AwaitAnswer([] {}, MakeResumeCallback(aStream.m_id));
  static_cast<void>(answered);
  m_mesh.Emit(ForwardReceived{ exchange });
}

void
PeerConnection::OnAnswerHead(PeerStream& aStream)
{
  if (aStream.m_isMessage || FindHeader(aStream.m_headers, kErrorHeader)) {
    return;
  }
  ResponseHead head;
  head.m_status = aStream.m_status;
  head.m_headers = ForwardedHeaders(aStream.m_headers);
  head.m_bodySize = HeaderNumber(aStream.m_headers, kBodySizeHeader);
  aStream.m_responded = true;
  aStream.m_exchange->Respond(std::move(head));
}

void
PeerConnection::OnHead(PeerStream& aStream, bool aEnded)
{
  if (aStream.m_outbound) {
    OnAnswerHead(aStream);
  } else {
    OnRequestHead(aStream, aEnded);
  }
}

void
PeerConnection::OnRemoteEnd(PeerStream& aStream)
{
  aStream.m_remoteEnded = true;
  if (!aStream.m_isMessage) {
    if (!aStream.m_outbound) {
      aStream.m_exchange->RequestBody().Close(PipeEnd::Complete);
    }
    return;
  }
  m_mesh.m_controlBytes.fetch_add(aStream.m_in.size());
  m_mesh.m_controlMessages.fetch_add(1);
  if (aStream.m_outbound) {
    m_mesh.Emit(AnswerReceived{ m_address, std::move(aStream.m_in) });
  } else {
    m_mesh.Emit(
      MessageReceived{ { m_id, aStream.m_id }, std::move(aStream.m_in) });
  }
}

int
PeerConnection::OnFrame(nghttp2_session* /*aSession*/,
                        const nghttp2_frame* aFrame,
                        void* aSelf)
{
  auto& self = *static_cast<PeerConnection*>(aSelf);
  auto* stream = self.Find(aFrame->hd.stream_id);
  if (stream == nullptr) {
    return 0;
  }
  const bool ended = (aFrame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  if (aFrame->hd.type == NGHTTP2_HEADERS) {
    self.OnHead(*stream, ended);
  }
  const bool carriesEnd =
    aFrame->hd.type == NGHTTP2_HEADERS || aFrame->hd.type == NGHTTP2_DATA;
  if (carriesEnd && ended) {
    self.OnRemoteEnd(*stream);
  }
  return 0;
}

int
PeerConnection::OnFrameSent(nghttp2_session* /*aSession*/,
                            const nghttp2_frame* aFrame,
                            void* aSelf)
{
  auto& self = *static_cast<PeerConnection*>(aSelf);
  auto* stream = self.Find(aFrame->hd.stream_id);
  if (stream != nullptr && aFrame->hd.type == NGHTTP2_HEADERS) {
    stream->m_sent = true;
  }
  return 0;
}

void
PeerConnection::TakeBody(PeerStream& aStream, std::string_view aBytes)
{
  auto& exchange = *aStream.m_exchange;
  auto& pipe =
    aStream.m_outbound ? exchange.ResponseBody() : exchange.RequestBody();
  aStream.m_unconsumed += aBytes.size();
  // The stream's flow-control window is the pipe's capacity, so the pipe
  // accepts all bytes.
  pipe.Write(aBytes, [] {}, {});
  ReleaseWindow(aStream);
}

void
PeerConnection::ReleaseWindow(PeerStream& aStream)
{
  if (aStream.m_unconsumed == 0) {
    return;
  }
  auto& exchange = *aStream.m_exchange;
  auto& pipe =
    aStream.m_outbound ? exchange.ResponseBody() : exchange.RequestBody();
  const auto unread = pipe.UnreadWithCallback(MakeResumeCallback(aStream.m_id));
  if (unread < aStream.m_unconsumed) {
    const auto consumed = aStream.m_unconsumed - unread;
    aStream.m_unconsumed = unread;
    nghttp2_session_consume_stream(m_session, aStream.m_id, consumed);
  }
}

int
PeerConnection::OnData(nghttp2_session* aSession,
                       std::uint8_t /*aFlags*/,
                       std::int32_t aStream,
                       const std::uint8_t* aData,
                       std::size_t aLength,
                       void* aSelf)
{
  auto& self = *static_cast<PeerConnection*>(aSelf);
  nghttp2_session_consume_connection(aSession, aLength);
  auto* stream = self.Find(aStream);
  if (stream == nullptr) {
    return 0;
  }
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aLength);
  if (stream->m_isMessage) {
    if (stream->m_in.size() + aLength > kMaxMessageBytes) {
      return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    stream->m_in += bytes;
    nghttp2_session_consume_stream(aSession, aStream, aLength);
  } else if (stream->m_exchange) {
    self.TakeBody(*stream, bytes);
  }
  return 0;
}

void
PeerConnection::Respond(PeerStream& aStream)
{
  auto& exchange = *aStream.m_exchange;
  HeaderBlock headers;
  const auto response = exchange.Response();
  if (!response) {
    const auto kind = exchange.Failure().value_or(ErrorKind::SendInterrupted);
    headers.Add(":status", std::to_string(AnswerFor(kind).m_status));
    headers.Add(std::string(kErrorHeader), std::string(AnswerFor(kind).m_name));
    const auto view = headers.View();
    nghttp2_submit_response(
      m_session, aStream.m_id, view.data(), view.size(), nullptr);
    return;
  }
  headers.Add(":status", std::to_string(response->m_status));
  if (response->m_bodySize) {
    headers.Add(std::string(kBodySizeHeader),
                std::to_string(*response->m_bodySize));
  }
  headers.AddForwarded(response->m_headers);
  const auto view = headers.View();
  nghttp2_data_provider provider{ {}, OnSource };
  nghttp2_submit_response(
    m_session, aStream.m_id, view.data(), view.size(), &provider);
}

void
PeerConnection::Resume(std::int32_t aStream)
{
  auto* stream = Find(aStream);
  if (stream == nullptr || stream->m_isMessage) {
    return;
  }
  auto& exchange = *stream->m_exchange;
  if (stream->m_outbound && exchange.IsCanceled()) {
    nghttp2_submit_rst_stream(
      m_session, NGHTTP2_FLAG_NONE, aStream, NGHTTP2_CANCEL);
    return;
  }
  if (!stream->m_outbound && !stream->m_responded && exchange.IsAnswered()) {
    stream->m_responded = true;
    Respond(*stream);
  }
  ReleaseWindow(*stream);
  nghttp2_session_resume_data(m_session, aStream);
}

void
PeerConnection::End(PeerStream& aStream, std::uint32_t aError)
{
  if (aStream.m_isMessage || !aStream.m_exchange) {
    return;
  }
  auto& exchange = *aStream.m_exchange;
  const bool complete = aError == NGHTTP2_NO_ERROR && aStream.m_remoteEnded;
  if (!aStream.m_outbound) {
    if (!complete || !aStream.m_responded) {
      exchange.Cancel();
    }
    return;
  }
  exchange.OnCancel(nullptr);
  const auto* name = FindHeader(aStream.m_headers, kErrorHeader);
  std::optional<ErrorKind> error;
  if (name != nullptr) {
    error = ErrorKindFromName(*name).value_or(ErrorKind::SendInterrupted);
  } else if (complete && aStream.m_responded) {
    exchange.ResponseBody().Close(PipeEnd::Complete);
  } else if (aStream.m_responded) {
    error = ErrorKind::AnswerCut;
  } else if (!m_connected || !aStream.m_sent ||
             aError == NGHTTP2_REFUSED_STREAM) {
    error = ErrorKind::PeerUnreachable;
  } else {
    error = ErrorKind::SendInterrupted;
  }
  m_mesh.Emit(ForwardEnded{ aStream.m_exchange, error });
}

int
PeerConnection::OnClose(nghttp2_session* /*aSession*/,
                        std::int32_t aStream,
                        std::uint32_t aError,
                        void* aSelf)
{
  auto& self = *static_cast<PeerConnection*>(aSelf);
  const auto found = self.m_streams.find(aStream);
  if (found != self.m_streams.end()) {
    auto stream = std::move(found->second);
    self.m_streams.erase(found);
    self.End(stream, aError);
  }
  return 0;
}

bool
PeerConnection::CheckAlive(TimePoint aNow)
{
  const bool waiting =
    std::any_of(m_streams.begin(), m_streams.end(), [&](const auto& aEntry) {
      return aNow - aEntry.second.m_openedAt > kPingInterval;
    });
  if (!waiting) {
    m_lastPing = {};
    return true;
  }
  if (m_lastPing == TimePoint{}) {
    m_lastReceived = std::max(m_lastReceived, aNow - kPingInterval);
  }
  if (aNow - m_lastPing > kPingInterval) {
    m_lastPing = aNow;
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
  }
  return aNow - m_lastReceived < kUnresponsiveTimeout;
}

void
PeerConnection::FailAll()
{
  auto streams = std::exchange(m_streams, {});
  for (auto& [id, stream] : streams) {
    End(stream, NGHTTP2_INTERNAL_ERROR);
  }
}

} // namespace sapphirehook::internal
