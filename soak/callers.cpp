#include "soak/callers.hpp"

#include "platform/standin_formats.hpp"
#include "soak/endpoint.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <utility>

namespace sapphirehook::soak {

namespace {

/** Timeouts of callers for an answer and for connecting. */
constexpr Millis kAnswerTimeout{ 1500 };
constexpr Millis kConnectTimeout{ 1000 };
/** Maximum number of requests on one connection. */
constexpr unsigned kMaxRequestsPerConnection = 40;
/** Maximum number of requests without an answer on one connection, and the
    share of connections, one in so many, on which there may be several. */
constexpr std::size_t kMaxPipelined = 5;
constexpr unsigned kPipelineEvery = 3;
/** One in so many lookups on such a connection asks to close it, and one in so
    many payments is sent behind others. */
constexpr unsigned kCloseEvery = 20;
constexpr unsigned kPayBehindEvery = 4;
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

/** A caller's connection. */
class Callers::Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(Callers& aOwner, std::size_t aGateway, bool aPipelines)
    : m_owner(aOwner)
    , m_gateway(aGateway)
    , m_pipelines(aPipelines)
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

  /** Returns whether a request of a type may be sent now. */
  [[nodiscard]] bool Takes(RequestType aType, bool aMayPayBehind) const
  {
    const bool mayPipeline = m_pipelines && m_pending.size() < kMaxPipelined &&
                             (aType == RequestType::Look ||
                              (aType == RequestType::Pay && aMayPayBehind));
    return !m_ended && m_uses < kMaxRequestsPerConnection &&
           m_stream.IsConnected() && (!IsBusy() || mayPipeline);
  }
  [[nodiscard]] bool IsBusy() const noexcept { return !m_pending.empty(); }
  [[nodiscard]] bool IsEnded() const noexcept { return m_ended; }
  [[nodiscard]] bool Pipelines() const noexcept { return m_pipelines; }
  [[nodiscard]] std::size_t Gateway() const noexcept { return m_gateway; }

  void Send(CallerRecord aRecord, const std::string& aHead, std::string aBody)
  {
    aRecord.m_newConnection = m_uses++ == 0;
    aRecord.m_isBehind = IsBusy();
    if (!IsBusy()) {
      m_timer.Start(kAnswerTimeout);
    }
    m_pending.push_back({ std::move(aRecord), std::move(aBody) });
    m_stream.Write(aHead + m_pending.back().m_body);
  }

  void Close()
  {
    m_timer.Stop();
    m_stream.Close();
    m_ended = true;
  }

private:
  struct Pending
  {
    CallerRecord m_record;
    std::string m_body;
  };

  void OnData(std::string_view aBytes)
  {
    const auto self = shared_from_this();
    while (!aBytes.empty() && !m_ended) {
      if (!IsBusy()) {
        // The bytes belong to no request.
        m_last.m_wrongAnswer = true;
        m_owner.OnEnd(m_last);
        Close();
        return;
      }
      aBytes.remove_prefix(m_parser.Feed(aBytes));
      if (m_parser.Fault() != ParseFault::None) {
        m_pending.front().m_record.m_wrongAnswer = true;
        Finish(RequestOutcome::Answered);
        EndAll(RequestOutcome::NoAnswer);
        return;
      }
      if (m_parser.IsComplete()) {
        OnAnswer();
      }
    }
  }

  void OnAnswer()
  {
    const auto& head = m_parser.Response();
    auto& [record, body] = m_pending.front();
    record.m_status = head.m_status;
    const auto* id =
      FindHeader(head.m_headers, m_owner.m_protocol.m_attemptHeader);
    const auto* signature =
      FindHeader(head.m_headers, platform::SignatureHeader());
    constexpr int kOk = 200;
    if (head.m_status == kOk) {
      record.m_wrongAnswer = id == nullptr || *id != record.m_id ||
                             signature == nullptr ||
                             *signature != SignatureOf(record.m_id) ||
                             m_answer != BodyOf(record.m_id, body);
    } else {
      record.m_wrongAnswer =
        signature != nullptr || (id != nullptr && *id != record.m_id);
    }
    const bool keepsAlive = m_parser.KeepsAlive();
    m_parser.Resume();
    m_answer.clear();
    Finish(RequestOutcome::Answered);
    if (!keepsAlive) {
      EndAll(RequestOutcome::NotRead);
    }
  }

  void OnStreamEnd()
  {
    const auto self = shared_from_this();
    m_ended = true;
    if (IsBusy()) {
      m_parser.FeedEof();
      Finish(m_parser.IsInMessage() ? RequestOutcome::AnswerTruncated
                                    : RequestOutcome::NoAnswer);
    }
    EndAll(RequestOutcome::NoAnswer);
  }

  void OnTimeout()
  {
    const auto self = shared_from_this();
    EndAll(RequestOutcome::CallerTimedOut);
  }

  /** Ends the first request. */
  void Finish(RequestOutcome aEnd)
  {
    m_timer.Stop();
    m_last = std::move(m_pending.front().m_record);
    m_pending.pop_front();
    m_last.m_end = aEnd;
    m_last.m_endedAt = BootClock::now();
    m_last.m_fullySent = m_stream.Unsent() == 0;
    m_owner.OnEnd(m_last);
    if (IsBusy()) {
      const auto left =
        m_pending.front().m_record.m_sentAt + kAnswerTimeout - m_last.m_endedAt;
      m_timer.Start(std::max(left, std::chrono::nanoseconds(0)));
    }
  }

  /** Ends all requests and the connection. */
  void EndAll(RequestOutcome aEnd)
  {
    while (IsBusy()) {
      Finish(aEnd);
    }
    Close();
  }

  Callers& m_owner;
  std::size_t m_gateway;
  bool m_pipelines;
  TcpStream m_stream;
  MessageParser m_parser;
  Timer m_timer;
  /** Requests without a complete answer, in the order in which they were
      sent. */
  std::deque<Pending> m_pending;
  /** The last request that ended. */
  CallerRecord m_last;
  std::string m_answer;
  unsigned m_uses = 0;
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

std::shared_ptr<Callers::Connection>
Callers::ConnectionFor(std::size_t aGateway,
                       const sockaddr_in& aAddress,
                       RequestType aType)
{
  std::erase_if(m_connections,
                [](const auto& aOne) { return aOne->IsEnded(); });
  const bool mayPayBehind = m_random() % kPayBehindEvery == 0;
  const auto found = std::find_if(
    m_connections.begin(), m_connections.end(), [&](const auto& aOne) {
      return aOne->Gateway() == aGateway && aOne->Takes(aType, mayPayBehind);
    });
  if (found != m_connections.end()) {
    return *found;
  }
  const bool pipelines = m_opened++ % kPipelineEvery == 0;
  auto connection = std::make_shared<Connection>(*this, aGateway, pipelines);
  connection->Open(aAddress);
  m_connections.push_back(connection);
  return connection;
}

void
Callers::Send(std::size_t aGateway,
              const sockaddr_in& aAddress,
              RequestType aType)
{
  const auto connection = ConnectionFor(aGateway, aAddress, aType);
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
  if (aType == RequestType::Look && connection->Pipelines() &&
      m_random() % kCloseEvery == 0) {
    AppendHeader(head, "Connection", "close");
  }
  head += "\r\n";
  connection->Send(std::move(record), head, std::move(body));
}

void
Callers::OnEnd(CallerRecord aRecord)
{
  m_records.push_back(std::move(aRecord));
}

} // namespace sapphirehook::soak
