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

/** Kind of a caller's request. */
enum class RequestType : unsigned char
{
  /** An idempotent request with a key. */
  Look,
  /** A request of a never-repeat route. */
  Pay,
  /** A request of a never-repeat route with a large body. */
  File,
  /** A request to a route that exists only in some configurations. */
  Probe,
};

/** Outcome of a request, as its caller observed it. */
enum class RequestOutcome : unsigned char
{
  /** The caller received a complete answer. */
  Answered,
  /** The connection ended before the answer was complete. */
  AnswerTruncated,
  /** The connection failed or ended before any answer arrived. */
  NoAnswer,
  /** The caller's timeout expired, and the caller closed the connection. */
  CallerTimedOut,
  /** The request was sent behind an answer that closed the connection, and so
      counts as not read. */
  NotRead,
};

/** One request, as its caller recorded it. */
struct CallerRecord
{
  std::string m_id;
  RequestType m_type = RequestType::Look;
  std::size_t m_gateway = 0;
  TimePoint m_sentAt{};
  TimePoint m_endedAt{};
  RequestOutcome m_end = RequestOutcome::NoAnswer;
  int m_status = 0;
  /** The answer carried the id or the body of another request. */
  bool m_wrongAnswer = false;
  /** The whole request was written to the socket before the request ended. */
  bool m_fullySent = false;
  /** The request was the first on its connection. */
  bool m_newConnection = false;
  /** The request was sent before the answers to others on its connection. */
  bool m_isBehind = false;
};

struct CallersOptions
{
  double m_requestRate = 150.0;
  unsigned m_seed = 1;
  /** Number of connections to keep open to each gateway. */
  std::size_t m_connections = 12;
};

/** Sends requests at a steady average rate to the gateways in rotation and
    reuses connections while they are open. On every third connection it sends
    further requests before the first has been answered. */
class Callers
{
public:
  Callers(EventLoop& aLoop,
          const GatewayProtocol& aProtocol,
          CallersOptions aOptions);
  ~Callers();

  /** Sets the gateways that receive new requests. Open connections to other
      gateways stay open. */
  void SetRotation(
    const std::vector<std::pair<std::size_t, sockaddr_in>>& aRotation);

  void Start();
  void Stop();

  /** Sends a request to the probe route of a gateway. */
  void SendProbe(std::size_t aGateway, const sockaddr_in& aAddress);

  [[nodiscard]] const std::vector<CallerRecord>& Records() const noexcept
  {
    return m_records;
  }

  [[nodiscard]] bool IsIdle() const;

private:
  class Connection;

  [[nodiscard]] std::shared_ptr<Connection> ConnectionFor(
    std::size_t aGateway,
    const sockaddr_in& aAddress,
    RequestType aType);
  void SendNext();
  void Send(std::size_t aGateway,
            const sockaddr_in& aAddress,
            RequestType aType);
  void OnEnd(CallerRecord aRecord);

  EventLoop& m_loop;
  const GatewayProtocol& m_protocol;
  CallersOptions m_options;
  std::mt19937 m_random;
  Timer m_timer;
  unsigned m_lastId = 0;
  unsigned m_opened = 0;
  std::vector<std::pair<std::size_t, sockaddr_in>> m_rotation;
  std::list<std::shared_ptr<Connection>> m_connections;
  std::vector<CallerRecord> m_records;
};

} // namespace sapphirehook::soak

#endif
