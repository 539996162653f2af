#ifndef SAPPHIREHOOK_CORE_HTTP_CLIENT_HPP
#define SAPPHIREHOOK_CORE_HTTP_CLIENT_HPP

#include "sapphirehook/core/time.hpp"

#include <absl/status/statusor.h>
#include <atomic>
#include <map>
#include <string>
#include <vector>

using CURL = void;

namespace sapphirehook {

/** Answer to a blocking HTTP call. */
struct BlockingHttpAnswer
{
  long m_status = 0;
  std::string m_body;
  /** Header values by lower-case name. */
  std::map<std::string, std::string> m_headers;
};

/** Makes blocking HTTP calls over one persistent connection. Not
    thread-safe. */
class BlockingHttpClient
{
public:
  /** A call in flight is cancelled when aStop becomes true. aStop may be
      null. */
  explicit BlockingHttpClient(const std::atomic<bool>* aStop = nullptr);
  ~BlockingHttpClient();
  BlockingHttpClient(const BlockingHttpClient&) = delete;
  BlockingHttpClient& operator=(const BlockingHttpClient&) = delete;
  BlockingHttpClient(BlockingHttpClient&&) = delete;
  BlockingHttpClient& operator=(BlockingHttpClient&&) = delete;

  /** Makes one call, with headers in the form "Name: value". Returns
      Unavailable if no complete answer arrives within the timeout; the call may
      still have taken effect. */
  [[nodiscard]] absl::StatusOr<BlockingHttpAnswer> Call(
    const std::string& aMethod,
    const std::string& aUrl,
    const std::string& aBody,
    Millis aTimeout,
    const std::vector<std::string>& aHeaders = {});

private:
  CURL* m_curl;
};

/** Initializes libcurl. Each program calls it once at its start. */
void
InitHttp();

} // namespace sapphirehook

#endif
