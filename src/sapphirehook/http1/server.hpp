#ifndef SAPPHIREHOOK_HTTP1_SERVER_HPP
#define SAPPHIREHOOK_HTTP1_SERVER_HPP

#include "sapphirehook/http1/message_parser.hpp"
#include "sapphirehook/net/tcp_stream.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sapphirehook {

/** What a small server answers. */
struct HttpReply
{
  int m_status = 200;
  std::string m_contentType = "text/plain";
  std::string m_body = {};
  /** Headers besides those of the connection and of the body. */
  std::vector<Header> m_headers = {};
  /** The connection ends after this answer. */
  bool m_closes = false;
};

/** One request to a small server, whole, and the place of its answer. It may be
    kept and answered later. */
class HttpExchange
{
public:
  HttpExchange() = default;
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  virtual ~HttpExchange() = default;

  RequestHead m_head;
  std::string m_body;
  /** Called when the peer leaves before the answer. */
  std::function<void()> m_onGone;

  /** Sends the answer. It goes nowhere when the peer has left. */
  virtual void Answer(const HttpReply& aReply) = 0;

  /** Sends bytes as they are, for answers that are broken on purpose. */
  virtual void AnswerRaw(std::string_view aBytes) = 0;

  /** Resets the connection. */
  virtual void Reset() = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/** A server of small requests whose bodies are held in memory. Connections are
    kept open, and serve one request at a time. */
class HttpServer
{
public:
  using Handler = std::function<void(const HttpExchangePtr&)>;

  HttpServer(EventLoop& aLoop, Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Returns whether the address could be bound. */
  [[nodiscard]] bool Listen(const sockaddr_in& aAddress);

  /** Refuses new connections from now on. */
  void StopListening() { m_listener.Close(); }

  /** Resets all connections. */
  void ResetAll();

  [[nodiscard]] std::size_t Connections() const noexcept
  {
    return m_connections.size();
  }

private:
  class Connection;

  void Accept(int aSocket);
  void OnEnd(Connection& aConnection);

  EventLoop& m_loop;
  Handler m_handler;
  TcpListener m_listener;
  std::map<Connection*, std::shared_ptr<Connection>> m_connections;
};

/** Returns the bytes of an answer. */
[[nodiscard]] std::string
SerializeReply(const HttpReply& aReply);

} // namespace sapphirehook

#endif
