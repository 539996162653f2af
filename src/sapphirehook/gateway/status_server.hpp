#ifndef SAPPHIREHOOK_GATEWAY_STATUS_SERVER_HPP
#define SAPPHIREHOOK_GATEWAY_STATUS_SERVER_HPP

#include "sapphirehook/http1/message_parser.hpp"
#include "sapphirehook/net/tcp_stream.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sapphirehook {

/** Answers small GET requests on an address of its own: the balancer's
    question, and metrics. */
class StatusServer
{
public:
  struct Reply
  {
    int m_status = 200;
    std::string m_body;
  };
  using Handler = std::function<Reply(const std::string& aTarget)>;

  StatusServer(EventLoop& aLoop, Handler aHandler);

  /** Returns whether the address could be bound. */
  [[nodiscard]] bool Listen(const sockaddr_in& aAddress);

private:
  struct Connection;

  void Accept(int aSocket);

  EventLoop& m_loop;
  Handler m_handler;
  TcpListener m_listener;
  std::map<Connection*, std::shared_ptr<Connection>> m_connections;
};

} // namespace sapphirehook

#endif
