#ifndef SAPPHIREHOOK_TEST_GATEWAY_ENGINE_BED_HPP
#define SAPPHIREHOOK_TEST_GATEWAY_ENGINE_BED_HPP

#include "platform/protocol.hpp"
#include "sapphirehook/core/text.hpp"
#include "sapphirehook/gateway/request_engine.hpp"
#include "support/loopback.hpp"

#include <catch2/catch.hpp>
#include <deque>

/** A gateway's request path, with endpoints that a test scripts byte by byte.
 */
namespace sapphirehook::engine_bed {

inline constexpr Millis kPatience{ 3000 };

/** An endpoint that does what a script says with each request it is sent. */
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

  /** Answers 200 with a text. */
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

  Script m_script = [](Connection& aConnection, RequestHead& aHead) {
    Serve(aConnection, aHead);
  };
  /** Ids of the requests that arrived, in order. */
  std::vector<std::string> m_arrived;
  std::vector<std::string> m_deadlines;
  std::string m_bodies;
  /** Connections that the other side has ended. */
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
    connection.m_stream->Adopt(aSocket, kPatience);
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

/** A gateway's request path with two endpoints, and one caller. */
class Bed
{
public:
  Bed()
    : m_protocol(platform::Protocol())
    , m_log("test")
    , m_engine(m_loop, m_protocol, m_log, { "z", BudgetConfig{} })
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
    config.m_services["keyed"].m_keyed = true;
    config.m_limits.m_bodyBytes = 100'000;
    config.m_limits.m_headTimeout = Millis(300);
    m_engine.SetRoutes(std::make_shared<const RouteTable>(config));
  }

  /** Lists both endpoints under a service. */
  void List(const std::string& aService, bool aBoth = true)
  {
    m_directory.OnRecord(BootClock::now(), m_one.Record(aService));
    if (aBoth) {
      m_directory.OnRecord(BootClock::now(), m_two.Record(aService));
    }
    m_engine.SetEndpoints(BootClock::now(), m_directory);
  }

  /** Starts the first endpoint anew: nothing is held against it. */
  void StartAnew(const std::string& aService)
  {
    auto record = m_one.Record(aService);
    record.m_incarnation.m_startedAt = ++m_run;
    m_directory.OnRecord(BootClock::now(), record);
    m_engine.SetEndpoints(BootClock::now(), m_directory);
    m_caller.reset();
    m_callerEnded = false;
  }

  /** Handles events until a condition holds; false when it never did. */
  bool Until(const std::function<bool()>& aCondition, Millis aFor = kPatience)
  {
    return support::RunUntil(m_loop, aCondition, aFor);
  }

  /** Connects the caller and sends bytes. */
  void Send(const std::string& aBytes)
  {
    if (!m_caller) {
      m_caller = std::make_unique<TcpStream>(
        m_loop,
        StreamEvents{ nullptr,
                      [this](std::string_view aGot) { m_got.append(aGot); },
                      nullptr,
                      [this](StreamEnd) { m_callerEnded = true; } });
      m_caller->Connect(m_address, Millis(500), kPatience);
    }
    m_caller->Write(aBytes);
  }

  /** Sends a request without a body and returns the answer's bytes. */
  std::string Ask(const std::string& aPath,
                  const std::string& aId,
                  const std::string& aHeaders = "",
                  Millis aFor = kPatience)
  {
    m_got.clear();
    Send(Concat("GET ",
                aPath,
                " HTTP/1.1\r\nHost: h\r\nX-Sapphirehook-Attempt-Id: ",
                aId,
                "\r\n",
                aHeaders,
                "\r\n"));
    Until([&] { return m_got.find("\r\n\r\n") != std::string::npos; }, aFor);
    Until([] { return false; }, Millis(10));
    return m_got;
  }

  static bool Is(const std::string& aAnswer, int aStatus)
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
  std::string m_got;
  bool m_callerEnded = false;
  std::int64_t m_run = 1;
  /** What a script does later. */
  std::vector<std::unique_ptr<Timer>> m_later;

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

} // namespace sapphirehook::engine_bed

#endif
