#ifndef SAPPHIREHOOK_TEST_GATEWAY_ENGINE_FIXTURE_HPP
#define SAPPHIREHOOK_TEST_GATEWAY_ENGINE_FIXTURE_HPP

#include "platform/protocol.hpp"
#include "sapphirehook/core/text.hpp"
#include "sapphirehook/gateway/request_engine.hpp"
#include "support/loopback.hpp"

#include <catch2/catch.hpp>
#include <deque>

/** A gateway's request path with endpoints whose answers a test scripts byte by
    byte. */
namespace sapphirehook::engine_fixture {

inline constexpr Millis kTimeout{ 3000 };

/** An endpoint that passes each received request to a script. */
class ScriptedEndpoint
{
public:
  struct Connection
  {
    std::unique_ptr<TcpStream> m_stream;
    std::unique_ptr<MessageParser> m_parser;
    bool m_ended = false;
  };
  using Script = std::function<void(Connection&, RequestHead&)>;

  ScriptedEndpoint(EventLoop& aLoop, std::string aName)
    : m_loop(aLoop)
    , m_name(std::move(aName))
    , m_address(support::FreeAddress())
    , m_listener(aLoop, [this](int aSocket) { Accept(aSocket); })
  {
    REQUIRE(m_listener.Listen(m_address));
  }

  [[nodiscard]] EndpointRecord Record(const std::string& aService) const
  {
    EndpointRecord record;
    record.m_incarnation = { m_name, 1 };
    record.m_service = aService;
    record.m_address = m_address;
    record.m_zone = "z";
    record.m_slots = 6;
    return record;
  }

  /** Answers with status 200 and the body "done". */
  static void Serve(Connection& aConnection, const RequestHead& aHead)
  {
    Reply(aConnection, aHead, "200 OK", "", "done");
  }

  static void Reply(Connection& aConnection,
                    const RequestHead& aHead,
                    const std::string& aStatus,
                    const std::string& aHeaders,
                    const std::string& aBody)
  {
    const auto* id = FindHeader(aHead.m_headers, "X-Sapphirehook-Attempt-Id");
    aConnection.m_stream->Write(Concat("HTTP/1.1 ",
                                       aStatus,
                                       "\r\nX-Sapphirehook-Attempt-Id: ",
                                       id != nullptr ? *id : std::string(),
                                       "\r\n",
                                       aHeaders,
                                       "Content-Length: ",
                                       aBody.size(),
                                       "\r\n\r\n",
                                       aBody));
  }

  /** Sends the beginning of an answer with status 200 and a longer body, and
      closes. */
  static void ReplyTruncated(Connection& aConnection,
                             const RequestHead& aHead,
                             std::size_t aStatedSize,
                             const std::string& aPart)
  {
    const auto* id = FindHeader(aHead.m_headers, "X-Sapphirehook-Attempt-Id");
    aConnection.m_stream->Write(
      Concat("HTTP/1.1 200 OK\r\nX-Sapphirehook-Attempt-Id: ",
             *id,
             "\r\nContent-Length: ",
             aStatedSize,
             "\r\n\r\n",
             aPart));
    aConnection.m_stream->CloseAfterWrite();
  }

  Script m_script = [](Connection& aConnection, RequestHead& aHead) {
    Serve(aConnection, aHead);
  };
  /** Ids of the received requests, in order of arrival. */
  std::vector<std::string> m_arrived;
  std::vector<std::string> m_deadlines;
  std::string m_bodies;
  /** Number of connections that the peer has closed. */
  unsigned m_ended = 0;

  void StopListening() { m_listener.Close(); }

private:
  void Accept(int aSocket)
  {
    auto& connection = m_connections.emplace_back();
    connection.m_parser = std::make_unique<MessageParser>(
      HttpMessageType::Request,
      MessageEvents{
        [this, &connection] { OnHead(connection); },
        [this](std::string_view aPiece) { m_bodies.append(aPiece); },
        nullptr });
    connection.m_stream = std::make_unique<TcpStream>(
      m_loop,
      StreamEvents{ nullptr,
                    [&connection](std::string_view aBytes) {
                      while (!aBytes.empty()) {
                        const auto used = connection.m_parser->Feed(aBytes);
                        aBytes.remove_prefix(used);
                        if (!connection.m_parser->IsComplete()) {
                          return;
                        }
                        connection.m_parser->Resume();
                      }
                    },
                    nullptr,
                    [this](StreamEnd) { ++m_ended; } });
    connection.m_stream->Adopt(aSocket, kTimeout);
  }

  void OnHead(Connection& aConnection)
  {
    auto& head = aConnection.m_parser->Request();
    const auto* id = FindHeader(head.m_headers, "X-Sapphirehook-Attempt-Id");
    const auto* left = FindHeader(head.m_headers, "X-Sapphirehook-Deadline-Ms");
    const auto* expect =
      FindHeader(head.m_headers, "X-Sapphirehook-Expect-Instance");
    m_arrived.push_back(id != nullptr ? *id : "");
    m_deadlines.push_back(left != nullptr ? *left : "");
    CHECK((expect != nullptr && *expect == m_name));
    m_script(aConnection, head);
  }

  EventLoop& m_loop;
  std::string m_name;
  sockaddr_in m_address;
  TcpListener m_listener;
  std::deque<Connection> m_connections;
};

/** A gateway's request path with two endpoints and one caller. */
class Fixture
{
public:
  explicit Fixture(double aLinkMbps = 0.0)
    : m_protocol(platform::Protocol())
    , m_log("test")
    , m_engine(m_loop,
               m_protocol,
               m_log,
               { .m_zone = "z", .m_budget = {}, .m_linkMbps = aLinkMbps })
    , m_address(support::FreeAddress())
    , m_listener(m_loop,
                 [this](int aSocket) { m_engine.AcceptCaller(aSocket); })
    , m_directory(Millis(1600))
    , m_one(m_loop, "one")
    , m_two(m_loop, "two")
  {
    REQUIRE(m_listener.Listen(m_address));
    RoutingConfig config;
    config.m_version = 1;
    AddRoute(config, "/safe/", RequestKind::Idempotent, "plain");
    AddRoute(config, "/once/", RequestKind::NeverRepeat, "plain");
    AddRoute(config, "/keyed/", RequestKind::Idempotent, "keyed");
    AddRoute(config, "/large/", RequestKind::Download, "plain");
    config.m_services["keyed"].m_keyed = true;
    config.m_limits.m_bodyBytes = 100'000;
    config.m_limits.m_headTimeout = Millis(300);
    m_engine.SetRoutes(std::make_shared<const RouteTable>(config));
  }

  /** Registers the first endpoint, or both, under a service. */
  void List(const std::string& aService, bool aBoth = true)
  {
    m_directory.OnRecord(BootClock::now(), m_one.Record(aService));
    if (aBoth) {
      m_directory.OnRecord(BootClock::now(), m_two.Record(aService));
    }
    m_engine.SetEndpoints(BootClock::now(), m_directory);
  }

  /** Registers a new incarnation of the first endpoint, which clears its
      failure history, and drops the caller's connection. */
  void RestartFirst(const std::string& aService)
  {
    auto record = m_one.Record(aService);
    record.m_incarnation.m_startedAt = ++m_lastStartedAt;
    m_directory.OnRecord(BootClock::now(), record);
    m_engine.SetEndpoints(BootClock::now(), m_directory);
    m_caller.reset();
    m_callerEnded = false;
  }

  /** Begins a planned stop. Requests that arrive after aLastArrival from now
      and may last beyond aEnd are refused. */
  void BeginStop(Millis aLastArrival = Millis(2000), Millis aEnd = kTimeout)
  {
    const TimePoint now = BootClock::now();
    m_engine.BeginStop(now + aLastArrival, now + aEnd);
  }

  /** Handles events until a condition holds. Returns whether it held in
      time. */
  bool Until(const std::function<bool()>& aCondition, Millis aFor = kTimeout)
  {
    return support::RunUntil(m_loop, aCondition, aFor);
  }

  /** Sends bytes from the caller, which is connected first if necessary. */
  void Send(const std::string& aBytes)
  {
    if (!m_caller) {
      m_caller = std::make_unique<TcpStream>(
        m_loop,
        StreamEvents{
          nullptr,
          [this](std::string_view aReceived) { m_received.append(aReceived); },
          nullptr,
          [this](StreamEnd) { m_callerEnded = true; } });
      m_caller->Connect(m_address, Millis(500), kTimeout);
    }
    m_caller->Write(aBytes);
  }

  /** Sends a request without a body and returns the bytes of the answer. */
  std::string Ask(const std::string& aPath,
                  const std::string& aId,
                  const std::string& aHeaders = "",
                  Millis aFor = kTimeout)
  {
    m_received.clear();
    Send(Concat("GET ",
                aPath,
                " HTTP/1.1\r\nHost: h\r\nX-Sapphirehook-Attempt-Id: ",
                aId,
                "\r\n",
                aHeaders,
                "\r\n"));
    Until([&] { return m_received.find("\r\n\r\n") != std::string::npos; },
          aFor);
    Until([] { return false; }, Millis(10));
    return m_received;
  }

  static bool HasStatus(const std::string& aAnswer, int aStatus)
  {
    return aAnswer.compare(0, 12, Concat("HTTP/1.1 ", aStatus)) == 0;
  }

  EventLoop m_loop;
  GatewayProtocol m_protocol;
  EventLog m_log;
  RequestEngine m_engine;
  sockaddr_in m_address;
  TcpListener m_listener;
  EndpointDirectory m_directory;
  ScriptedEndpoint m_one;
  ScriptedEndpoint m_two;
  std::unique_ptr<TcpStream> m_caller;
  std::string m_received;
  bool m_callerEnded = false;
  std::int64_t m_lastStartedAt = 1;
  /** Timers of delayed actions of a script. */
  std::vector<std::unique_ptr<Timer>> m_timers;

  [[nodiscard]] std::size_t Arrived() const
  {
    return m_one.m_arrived.size() + m_two.m_arrived.size();
  }

  void SetScript(const ScriptedEndpoint::Script& aScript)
  {
    m_one.m_script = aScript;
    m_two.m_script = aScript;
  }

private:
  static void AddRoute(RoutingConfig& aConfig,
                       const std::string& aPrefix,
                       RequestKind aKind,
                       const std::string& aService)
  {
    Route route;
    route.m_name = aPrefix;
    route.m_host = "h";
    route.m_prefix = aPrefix;
    route.m_kind = aKind;
    route.m_timeout = Millis(600);
    route.m_objective = Millis(400);
    route.m_maxAttempts = 2;
    route.m_targets = { { aService, 1 } };
    aConfig.m_routes.push_back(route);
    aConfig.m_services[aService].m_name = aService;
  }
};

} // namespace sapphirehook::engine_fixture

#endif
