#include "sapphirehook/http1/server.hpp"

#include <utility>

namespace sapphirehook {

namespace {

/** A connection counts as reset when its peer acknowledges no data for this
    long. The balancer sends a request each second. */
constexpr Millis kAcknowledgeTimeout{ 30'000 };
constexpr int kFirstErrorStatus = 400;

} // namespace

std::string
SerializeReply(const HttpReply& aReply)
{
  std::string text = "HTTP/1.1 " + std::to_string(aReply.m_status) +
                     (aReply.m_status < kFirstErrorStatus ? " OK" : " Error") +
                     "\r\n";
  for (const auto& header : aReply.m_headers) {
    AppendHeader(text, header.m_name, header.m_value);
  }
  if (aReply.m_closesConnection) {
    AppendHeader(text, "Connection", "close");
  }
  AppendHeader(text, "Content-Type", aReply.m_contentType);
  AppendHeader(text, "Content-Length", std::to_string(aReply.m_body.size()));
  return text + "\r\n" + aReply.m_body;
}

class HttpServer::Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(HttpServer& aServer)
    : m_server(aServer)
    , m_stream(
        aServer.m_loop,
        StreamEvents{ nullptr,
                      [this](std::string_view aBytes) { OnData(aBytes); },
                      nullptr,
                      [this](StreamEnd) { End(); } })
    , m_parser(HttpMessageType::Request,
               MessageEvents{
                 nullptr,
                 [this](std::string_view aPiece) { m_body.append(aPiece); },
                 nullptr })
  {
  }

  void Start(int aSocket) { m_stream.Adopt(aSocket, kAcknowledgeTimeout); }

  void Answer(const HttpReply& aReply)
  {
    m_exchange.reset();
    m_stream.Write(SerializeReply(aReply));
    if (aReply.m_closesConnection || !m_parser.KeepsAlive()) {
      m_stream.CloseAfterWrite();
      return;
    }
    m_parser.Resume();
    // Bytes received during the request belong to the next one.
    OnData(std::exchange(m_unread, {}));
  }

  void AnswerRaw(std::string_view aBytes) { m_stream.Write(aBytes); }

  void Reset()
  {
    m_stream.Reset();
    End();
  }

private:
  /** The exchange that the handler receives. It may outlive the connection. */
  struct Exchange : HttpExchange
  {
    explicit Exchange(std::weak_ptr<Connection> aConnection)
      : m_connection(std::move(aConnection))
    {
    }

    void Answer(const HttpReply& aReply) override
    {
      if (const auto connection = m_connection.lock()) {
        m_connection.reset();
        connection->Answer(aReply);
      }
    }

    void AnswerRaw(std::string_view aBytes) override
    {
      if (const auto connection = m_connection.lock()) {
        connection->AnswerRaw(aBytes);
      }
    }

    void Reset() override
    {
      if (const auto connection = m_connection.lock()) {
        m_connection.reset();
        connection->Reset();
      }
    }

    std::weak_ptr<Connection> m_connection;
  };

  void OnData(std::string_view aBytes)
  {
    const auto self = shared_from_this();
    if (m_exchange) {
      m_unread.append(aBytes);
      return;
    }
    if (aBytes.empty()) {
      return;
    }
    aBytes.remove_prefix(m_parser.Feed(aBytes));
    if (m_parser.Fault() != ParseFault::None) {
      m_stream.Close();
      End();
      return;
    }
    if (!m_parser.IsComplete()) {
      return;
    }
    m_unread.assign(aBytes);
    m_exchange = std::make_shared<Exchange>(weak_from_this());
    m_exchange->m_head = std::move(m_parser.Request());
    m_exchange->m_body = std::exchange(m_body, {});
    // The handler may answer synchronously, which starts the next request.
    m_server.m_handler(m_exchange);
  }

  void End()
  {
    const auto self = shared_from_this();
    const auto pending = std::exchange(m_exchange, nullptr);
    if (pending && pending->m_onConnectionEnd) {
      pending->m_onConnectionEnd();
    }
    m_server.OnEnd(*this);
  }

  HttpServer& m_server;
  TcpStream m_stream;
  MessageParser m_parser;
  std::string m_body;
  std::string m_unread;
  HttpExchangePtr m_exchange;
};

HttpServer::HttpServer(EventLoop& aLoop, Handler aHandler)
  : m_loop(aLoop)
  , m_handler(std::move(aHandler))
  , m_listener(aLoop, [this](int aSocket) { Accept(aSocket); })
{
}

HttpServer::~HttpServer() = default;

bool
HttpServer::Listen(const sockaddr_in& aAddress)
{
  return m_listener.Listen(aAddress);
}

void
HttpServer::Accept(int aSocket)
{
  auto connection = std::make_shared<Connection>(*this);
  m_connections.emplace(connection.get(), connection);
  connection->Start(aSocket);
}

void
HttpServer::OnEnd(Connection& aConnection)
{
  const auto found = m_connections.find(&aConnection);
  if (found != m_connections.end()) {
    m_loop.Retire(found->second);
    m_connections.erase(found);
  }
}

void
HttpServer::ResetAll()
{
  const auto connections = m_connections;
  for (const auto& [raw, connection] : connections) {
    connection->Reset();
  }
}

} // namespace sapphirehook
