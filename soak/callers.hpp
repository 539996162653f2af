#ifndef SAPPHIREHOOK_SOAK_CALLERS_HPP
#define SAPPHIREHOOK_SOAK_CALLERS_HPP

#include "sapphirehook/gateway/protocol.hpp"
#include "sapphirehook/http1/message_parser.hpp"
#include "sapphirehook/net/tcp_stream.hpp"

#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace sapphirehook::soak {

/** What callers ask for. */
enum class Ask : unsigned char
{
  /** Idempotent, with a key. */
  Look,
  /** Never to be repeated. */
  Pay,
  /** Never to be repeated, with a large body. */
  File,
  /** On a route that only some configurations have. */
  Probe,
};

/** How a request ended, as its caller saw it. */
enum class CallerEnd : unsigned char
{
  /** A whole answer came. */
  Answered,
  /** The connection ended in the middle of an answer. */
  CutInAnswer,
  /** It ended, or could not be made, without any answer. */
  NoAnswer,
  /** The caller's own wait was over, and it left. */
  GaveUp,
};

/** A caller's record of one request. */
struct CallerRecord
{
  std::string m_id;
  Ask m_ask = Ask::Look;
  std::size_t m_gateway = 0;
  TimePoint m_sentAt{};
  TimePoint m_endedAt{};
  CallerEnd m_end = CallerEnd::NoAnswer;
  int m_status = 0;
  /** The answer bore another request's id, or another body than its own. */
  bool m_mixed = false;
  /** The request had been sent as a whole before its connection ended. */
  bool m_sentWhole = false;
  /** It was the first on its connection. */
  bool m_newConnection = false;
};

struct CallersOptions
{
  double m_perSecond = 150.0;
  unsigned m_seed = 1;
  /** Connections that are kept to each gateway. */
  std::size_t m_connections = 12;
};

/** Callers that send at a steady rate to the gateways in rotation, over
    connections that they keep while those last. */
class Callers
{
public:
  Callers(EventLoop& aLoop,
          const GatewayProtocol& aProtocol,
          CallersOptions aOptions);
  ~Callers();

  /** Sets which gateways get new connections; the others keep theirs. */
  void SetRotation(const std::vector<std::pair<std::size_t, sockaddr_in>>& aOn);

  void Start();
  void Stop();

  /** Sends one request of a kind to a gateway on a new connection. */
  void SendProbe(std::size_t aGateway, const sockaddr_in& aAddress);

  [[nodiscard]] const std::vector<CallerRecord>& Records() const noexcept
  {
    return m_records;
  }

  [[nodiscard]] bool IsIdle() const;

private:
  class Connection;

  void SendNext();
  void Send(std::size_t aGateway, const sockaddr_in& aAddress, Ask aAsk);
  void OnEnd(CallerRecord aRecord);

  EventLoop& m_loop;
  const GatewayProtocol& m_protocol;
  CallersOptions m_options;
  std::mt19937 m_random;
  Timer m_timer;
  unsigned m_lastId = 0;
  std::vector<std::pair<std::size_t, sockaddr_in>> m_rotation;
  std::list<std::shared_ptr<Connection>> m_connections;
  std::vector<CallerRecord> m_records;
};

} // namespace sapphirehook::soak

#endif
