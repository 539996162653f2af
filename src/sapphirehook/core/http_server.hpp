#ifndef SAPPHIREHOOK_CORE_HTTP_SERVER_HPP
#define SAPPHIREHOOK_CORE_HTTP_SERVER_HPP

#include "sapphirehook/core/time.hpp"

#include <absl/status/status.h>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

struct MHD_Daemon;

namespace sapphirehook {

/** A request to a ThreadedHttpServer. */
struct HttpRequest
{
  std::string m_method;
  std::string m_path;
  /** Header values by lower-case name. */
  std::map<std::string, std::string> m_headers;
  /** Query parameters by name. */
  std::map<std::string, std::string> m_query;
  /** The first bytes of the body, up to
      ThreadedHttpServer::kMaxStoredBodyBytes. */
  std::string m_body;
  /** Size of the whole body in bytes. */
  std::uint64_t m_bodySize = 0;
};

/** The answer of a ThreadedHttpServer. */
struct HttpResponse
{
  int m_status = 200;
  std::map<std::string, std::string> m_headers;
  std::string m_body;
  /** Number of filler bytes after the body. */
  std::uint64_t m_fillerBytes = 0;
  /** If not negative, the answer is truncated after this number of bytes. */
  std::int64_t m_cutAfter = -1;
  /** Closes the connection without an answer. */
  bool m_dropConnection = false;
};

/** HTTP server with one thread per connection, for operators' ports and
    stand-ins. The handler may block. It receives at most kMaxStoredBodyBytes of
    a body; the rest is read and discarded. */
class ThreadedHttpServer
{
public:
  static constexpr std::size_t kMaxStoredBodyBytes =
    std::size_t{ 4 } * 1024 * 1024;

  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  explicit ThreadedHttpServer(Handler aHandler)
    : m_handler(std::move(aHandler))
  {
  }
  ~ThreadedHttpServer() { Stop(); }
  ThreadedHttpServer(const ThreadedHttpServer&) = delete;
  ThreadedHttpServer& operator=(const ThreadedHttpServer&) = delete;
  ThreadedHttpServer(ThreadedHttpServer&&) = delete;
  ThreadedHttpServer& operator=(ThreadedHttpServer&&) = delete;

  /** Listens on an address of the form "10.0.0.1:80". Returns Unavailable if
      the server cannot listen there, e.g. because the port is in use. */
  [[nodiscard]] absl::Status Start(const std::string& aAddress);

  void Stop();

  /** Handles one request. The server's threads call it. */
  [[nodiscard]] HttpResponse Handle(const HttpRequest& aRequest) const
  {
    return m_handler(aRequest);
  }

private:
  Handler m_handler;
  MHD_Daemon* m_daemon = nullptr;
};

} // namespace sapphirehook

#endif
