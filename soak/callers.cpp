#include "soak/callers.hpp"

#include "platform/standin_formats.hpp"
#include "soak/endpoint.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace sapphirehook::soak {

namespace {

/** Timeouts of callers for an answer and for connecting. */
constexpr Millis kAnswerTimeout{ 1500 };
constexpr Millis kConnectTimeout{ 1000 };
/** Maximum number of requests on one connection. */
constexpr unsigned kMaxRequestsPerConnection = 40;
/** Minimum size of large bodies, and the range added to it, in bytes. */
constexpr std::size_t kMinBodyBytes = 2'000;
constexpr std::size_t kBodyBytesRange = 150'000;

struct Target
{
  RequestType m_type;
  const char* m_method;
  const char* m_path;
};

constexpr std::array<Target, 4> kTargets{
  { { RequestType::Look, "GET", "/look/x" },
    { RequestType::Pay, "POST", "/pay/x" },
    { RequestType::File, "POST", "/file/x" },
    { RequestType::Probe, "GET", "/probe/x" } }
};

} // namespace

/** A caller's connection, which carries one request at a time. */
class Callers::Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(Callers& aOwner, std::size_t aGateway)
    : m_owner(aOwner)
    , m_gateway(aGateway)
    , m_stream(
        aOwner.m_loop,
        StreamEvents{ nullptr,
                      [this](std::string_view aBytes) { OnData(aBytes); },
                      nullptr,
                      [this](StreamEnd) { OnStreamEnd(); } })
    , m_parser(HttpMessageType::Response,
               MessageEvents{
                 nullptr,
                 [this](std::string_view aPiece) { m_answer.append(aPiece); },
                 nullptr })
    , m_timer(aOwner.m_loop, [this] { OnTimeout(); })
  {
  }

  void Open(const sockaddr_in& aAddress)
  {
    m_stream.Connect(aAddress, kConnectTimeout, kAnswerTimeout);
  }

  [[nodiscard]] bool IsFree() const
  {
    return !m_busy && !m_ended && m_uses < kMaxRequestsPerConnection &&
           m_stream.IsConnected();
  }
  [[nodiscard]] bool IsBusy() const noexcept { return m_busy; }
  [[nodiscard]] bool IsEnded() const noexcept { return m_ended; }
  [[nodiscard]] std::size_t Gateway() const noexcept { return m_gateway; }

  void Send(CallerRecord aRecord, const std::string& aHead, std::string aBody)
  {
    m_record = std::move(aRecord);
    m_record.m_newConnection = m_uses++ == 0;
    m_body = std::move(aBody);
    m_answer.clear();
    m_busy = true;
    m_timer.Start(kAnswerTimeout);
    m_stream.Write(aHead + m_body);
  }

  void Close()
  {
    m_stream.Close();
    m_ended = true;
  }

private:
  void OnData(std::string_view aBytes)
  {
    if (!m_busy) {
      // The bytes belong to no request.
      m_record.m_wrongAnswer = true;
      m_owner.OnEnd(m_record);
      Close();
      return;
    }
    const std::size_t used = m_parser.Feed(aBytes);
    if (m_parser.Fault() != ParseFault::None ||
        (m_parser.IsComplete() && used < aBytes.size())) {
      m_record.m_wrongAnswer = true;
      Finish(RequestOutcome::Answered);
      Close();
    } else if (m_parser.IsComplete()) {
      OnAnswer();
    }
  }

  void OnAnswer()
  {
    const auto& head = m_parser.Response();
    m_record.m_status = head.m_status;
    const auto* id =
      FindHeader(head.m_headers, m_owner.m_protocol.m_attemptHeader);
    const auto* signature =
      FindHeader(head.m_headers, platform::SignatureHeader());
    constexpr int kOk = 200;
    if (head.m_status == kOk) {
      m_record.m_wrongAnswer = id == nullptr || *id != m_record.m_id ||
                               signature == nullptr ||
                               *signature != SignatureOf(m_record.m_id) ||
                               m_answer != BodyOf(m_record.m_id, m_body);
    } else {
      m_record.m_wrongAnswer =
        signature != nullptr || (id != nullptr && *id != m_record.m_id);
    }
    const bool keepsAlive = m_parser.KeepsAlive();
    m_parser.Resume();
    Finish(RequestOutcome::Answered);
    if (!keepsAlive) {
      Close();
    }
  }

  void OnStreamEnd()
  {
    m_ended = true;
    if (m_busy) {
      m_parser.FeedEof();
      Finish(m_parser.IsInMessage() ? RequestOutcome::AnswerTruncated
                                    : RequestOutcome::NoAnswer);
    }
  }

  void OnTimeout()
  {
    Finish(RequestOutcome::CallerTimedOut);
    Close();
  }

  void Finish(RequestOutcome aEnd)
  {
    const auto self = shared_from_this();
    m_timer.Stop();
    m_busy = false;
    m_record.m_end = aEnd;
    m_record.m_endedAt = BootClock::now();
    m_record.m_fullySent = m_stream.Unsent() == 0;
    m_owner.OnEnd(m_record);
  }

  Callers& m_owner;
  std::size_t m_gateway;
  TcpStream m_stream;
  MessageParser m_parser;
  Timer m_timer;
  CallerRecord m_record;
  std::string m_body;
  std::string m_answer;
  unsigned m_uses = 0;
  bool m_busy = false;
  bool m_ended = false;
};

Callers::Callers(EventLoop& aLoop,
                 const GatewayProtocol& aProtocol,
                 CallersOptions aOptions)
  : m_loop(aLoop)
  , m_protocol(aProtocol)
  , m_options(aOptions)
  , m_random(aOptions.m_seed)
  , m_timer(aLoop, [this] { SendNext(); })
{
}

Callers::~Callers() = default;

void
Callers::SetRotation(
  const std::vector<std::pair<std::size_t, sockaddr_in>>& aRotation)
{
  m_rotation = aRotation;
}

void
Callers::Start()
{
  SendNext();
}

void
Callers::Stop()
{
  m_timer.Stop();
}

bool
Callers::IsIdle() const
{
  return std::none_of(m_connections.begin(),
                      m_connections.end(),
                      [](const auto& aOne) { return aOne->IsBusy(); });
}

void
Callers::SendNext()
{
  std::exponential_distribution<double> pause(m_options.m_requestRate);
  m_timer.Start(std::chrono::duration_cast<std::chrono::nanoseconds>(
    std::chrono::duration<double>(pause(m_random))));
  if (m_rotation.empty()) {
    return;
  }
  const auto& [gateway, address] = m_rotation[m_random() % m_rotation.size()];
  constexpr unsigned kAll = 20;
  constexpr unsigned kLooks = 12;
  constexpr unsigned kPays = 17;
  const auto draw = m_random() % kAll;
  Send(gateway,
       address,
       draw < kLooks  ? RequestType::Look
       : draw < kPays ? RequestType::Pay
                      : RequestType::File);
}

void
Callers::SendProbe(std::size_t aGateway, const sockaddr_in& aAddress)
{
  Send(aGateway, aAddress, RequestType::Probe);
}

void
Callers::Send(std::size_t aGateway,
              const sockaddr_in& aAddress,
              RequestType aType)
{
  std::erase_if(m_connections,
                [](const auto& aOne) { return aOne->IsEnded(); });
  auto found = std::find_if(
    m_connections.begin(), m_connections.end(), [&](const auto& aOne) {
      return aOne->Gateway() == aGateway && aOne->IsFree();
    });
  if (found == m_connections.end()) {
    auto connection = std::make_shared<Connection>(*this, aGateway);
    connection->Open(aAddress);
    found = m_connections.insert(m_connections.end(), std::move(connection));
  }
  const auto& target = kTargets.at(static_cast<std::size_t>(aType));
  CallerRecord record;
  record.m_id = "q" + std::to_string(++m_lastId);
  record.m_type = aType;
  record.m_gateway = aGateway;
  record.m_sentAt = BootClock::now();
  const bool hasBody = aType == RequestType::Pay || aType == RequestType::File;
  std::string body;
  if (hasBody) {
    const std::size_t size = aType == RequestType::File
                               ? kMinBodyBytes + m_random() % kBodyBytesRange
                               : 100;
    body.assign(size, static_cast<char>('a' + m_random() % 26));
  }
  std::string head =
    std::string(target.m_method) + " " + target.m_path + " HTTP/1.1\r\n";
  AppendHeader(head, "Host", "soak.example");
  AppendHeader(head, m_protocol.m_attemptHeader, record.m_id);
  AppendHeader(
    head, m_protocol.m_deadlineHeader, std::to_string(kAnswerTimeout.count()));
  // A third of the requests goes to hot keys, which lie close together.
  std::normal_distribution<double> busy(20'000.0, 300.0);
  const bool hot = m_random() % 3 == 0;
  const auto key = hot ? static_cast<unsigned>(busy(m_random)) % kKeyCount
                       : m_random() % kKeyCount;
  AppendHeader(head, m_protocol.m_keyHeader, std::to_string(key));
  if (hasBody) {
    AppendHeader(head, "Content-Length", std::to_string(body.size()));
  }
  head += "\r\n";
  const auto connection = *found;
  connection->Send(std::move(record), head, std::move(body));
}

void
Callers::OnEnd(CallerRecord aRecord)
{
  m_records.push_back(std::move(aRecord));
}

} // namespace sapphirehook::soak
