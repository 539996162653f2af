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

/** Answer of an HttpServer. */
struct HttpReply
{
  int m_status = 200;
  std::string m_contentType = "text/plain";
  std::string m_body = {};
  /** Headers other than Connection, Content-Type and Content-Length. */
  std::vector<Header> m_headers = {};
  /** Closes the connection after this answer. */
  bool m_closesConnection = false;
};

/** A complete request to an HttpServer, and the means to answer it. The answer
    may be sent later, outside of the handler. */
class HttpExchange
{
public:
  HttpExchange() = default;
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  virtual ~HttpExchange() = default;

  RequestHead m_head;
  std::string m_body;
  /** Called when the connection ends before the answer. */
  std::function<void()> m_onConnectionEnd;

  /** Sends the answer. Does nothing if the connection has ended. */
  virtual void Answer(const HttpReply& aReply) = 0;

  /** Sends bytes unchanged, for deliberately malformed answers. */
  virtual void AnswerRaw(std::string_view aBytes) = 0;

  /** Resets the connection. */
  virtual void Reset() = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/** Server for requests whose bodies fit in memory. Connections are persistent
    and handle one request at a time. */
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

  /** Stops accepting connections. */
  void StopListening() { m_listener.Close(); }

  /** Resets all open connections. */
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

/** Serializes an answer as an HTTP/1.1 response. */
[[nodiscard]] std::string
SerializeReply(const HttpReply& aReply);

} // namespace sapphirehook

#endif
