#include "sapphirehook/gateway/status_server.hpp"

#include <utility>

namespace sapphirehook {

namespace {

/** The balancer asks each second; a connection idle for longer is closed. */
constexpr Millis kIdle{ 30'000 };
constexpr int kOk = 200;

} // namespace

struct StatusServer::Connection
{
  Connection(EventLoop& aLoop,
             const Handler& aHandler,
             std::function<void(Connection*)> aOnEnd)
    : m_handler(aHandler)
    , m_onEnd(std::move(aOnEnd))
    , m_stream(
        aLoop,
        StreamEvents{ nullptr,
                      [this](std::string_view aBytes) { OnData(aBytes); },
                      nullptr,
                      [this](StreamEnd) { m_onEnd(this); } })
    , m_parser(MessageSide::Request, MessageEvents{})
  {
  }

  void OnData(std::string_view aBytes)
  {
    while (!aBytes.empty()) {
      aBytes.remove_prefix(m_parser.Feed(aBytes));
      if (m_parser.Fault() != ParseFault::None) {
        m_stream.Close();
        m_onEnd(this);
        return;
      }
      if (!m_parser.IsComplete()) {
        return;
      }
      const auto reply = m_handler(m_parser.Request().m_target);
      std::string text =
        "HTTP/1.1 " + std::to_string(reply.m_status) +
        (reply.m_status == kOk ? " OK\r\n" : " Unavailable\r\n");
      AppendHeader(text, "Content-Type", "text/plain");
      AppendHeader(text, "Content-Length", std::to_string(reply.m_body.size()));
      text += "\r\n" + reply.m_body;
      m_stream.Write(text);
      m_parser.Resume();
    }
  }

  const Handler& m_handler;
  std::function<void(Connection*)> m_onEnd;
  TcpStream m_stream;
  MessageParser m_parser;
};

StatusServer::StatusServer(EventLoop& aLoop, Handler aHandler)
  : m_loop(aLoop)
  , m_handler(std::move(aHandler))
  , m_listener(aLoop, [this](int aSocket) { Accept(aSocket); })
{
}

bool
StatusServer::Listen(const sockaddr_in& aAddress)
{
  return m_listener.Listen(aAddress);
}

void
StatusServer::Accept(int aSocket)
{
  auto connection =
    std::make_shared<Connection>(m_loop, m_handler, [this](Connection* aEnded) {
      const auto found = m_connections.find(aEnded);
      if (found != m_connections.end()) {
        m_loop.Retire(found->second);
        m_connections.erase(found);
      }
    });
  m_connections.emplace(connection.get(), connection);
  connection->m_stream.Adopt(aSocket, kIdle);
}

} // namespace sapphirehook
