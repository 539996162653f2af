#include "sapphirehook/core/http_server.hpp"

#include "sapphirehook/core/address.hpp"
#include "sapphirehook/core/text.hpp"

#include <algorithm>
#include <cstring>
#include <microhttpd.h>

namespace sapphirehook {

namespace {

constexpr std::size_t kBlockBytes = 65536;

std::string
ToLower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aLetter) {
      return static_cast<char>(std::tolower(aLetter));
    });
  return aText;
}

MHD_Result
CollectHeader(void* aMap, MHD_ValueKind, const char* aName, const char* aValue)
{
  auto& headers = *static_cast<std::map<std::string, std::string>*>(aMap);
  headers[ToLower(aName)] = aValue == nullptr ? "" : aValue;
  return MHD_YES;
}

MHD_Result
CollectQueryParameter(void* aMap,
                      MHD_ValueKind,
                      const char* aName,
                      const char* aValue)
{
  auto& query = *static_cast<std::map<std::string, std::string>*>(aMap);
  query[aName] = aValue == nullptr ? "" : aValue;
  return MHD_YES;
}

ssize_t
ReadAnswer(void* aResponse,
           std::uint64_t aPosition,
           char* aBuffer,
           std::size_t aSize)
{
  const auto& response = *static_cast<HttpResponse*>(aResponse);
  const auto cut = static_cast<std::uint64_t>(response.m_cutAfter);
  if (response.m_cutAfter >= 0 && aPosition >= cut) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  const auto total = response.m_body.size() + response.m_fillerBytes;
  auto bytes = std::min<std::uint64_t>(aSize, total - aPosition);
  if (response.m_cutAfter >= 0) {
    bytes = std::min(bytes, cut - aPosition);
  }
  if (aPosition < response.m_body.size()) {
    bytes = std::min<std::uint64_t>(bytes, response.m_body.size() - aPosition);
    response.m_body.copy(aBuffer, bytes, aPosition);
  } else {
    std::memset(aBuffer, 'x', bytes);
  }
  return static_cast<ssize_t>(bytes);
}

void
FreeAnswer(void* aResponse)
{
  delete static_cast<HttpResponse*>(aResponse);
}

MHD_Result
SendAnswer(MHD_Connection* aConnection, HttpResponse aResponse)
{
  if (aResponse.m_dropConnection) {
    return MHD_NO;
  }
  const auto size = aResponse.m_body.size() + aResponse.m_fillerBytes;
  const auto status = static_cast<unsigned>(aResponse.m_status);
  const auto headers = aResponse.m_headers;
  auto* ownedResponse = new HttpResponse(std::move(aResponse));
  auto* response = MHD_create_response_from_callback(
    size, kBlockBytes, ReadAnswer, ownedResponse, FreeAnswer);
  for (const auto& [name, value] : headers) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  const auto result = MHD_queue_response(aConnection, status, response);
  MHD_destroy_response(response);
  return result;
}

MHD_Result
OnRequest(void* aServer,
          MHD_Connection* aConnection,
          const char* aPath,
          const char* aMethod,
          const char* /*aVersion*/,
          const char* aData,
          std::size_t* aSize,
          void** aContext)
{
  if (*aContext == nullptr) {
    auto* request = new HttpRequest();
    request->m_method = aMethod;
    request->m_path = aPath;
    MHD_get_connection_values(
      aConnection, MHD_HEADER_KIND, CollectHeader, &request->m_headers);
    MHD_get_connection_values(aConnection,
                              MHD_GET_ARGUMENT_KIND,
                              CollectQueryParameter,
                              &request->m_query);
    *aContext = request;
    return MHD_YES;
  }
  auto& request = *static_cast<HttpRequest*>(*aContext);
  if (*aSize > 0) {
    const auto remaining =
      ThreadedHttpServer::kMaxStoredBodyBytes - request.m_body.size();
    request.m_body.append(aData, std::min(remaining, *aSize));
    request.m_bodySize += *aSize;
    *aSize = 0;
    return MHD_YES;
  }
  const auto& server = *static_cast<const ThreadedHttpServer*>(aServer);
  return SendAnswer(aConnection, server.Handle(request));
}

void
OnCompleted(void* /*aServer*/,
            MHD_Connection* /*aConnection*/,
            void** aContext,
            MHD_RequestTerminationCode /*aCode*/)
{
  delete static_cast<HttpRequest*>(*aContext);
  *aContext = nullptr;
}

} // namespace

absl::Status
ThreadedHttpServer::Start(const std::string& aAddress)
{
  const auto address = ParseAddress(aAddress);
  if (!address.ok()) {
    return address.status();
  }
  const auto socketAddress = ToSocketAddress(*address);
  m_daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
                                MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_ITC,
                              address->m_port,
                              nullptr,
                              nullptr,
                              OnRequest,
                              this,
                              MHD_OPTION_SOCK_ADDR,
                              reinterpret_cast<const sockaddr*>(&socketAddress),
                              MHD_OPTION_NOTIFY_COMPLETED,
                              OnCompleted,
                              this,
                              MHD_OPTION_LISTENING_ADDRESS_REUSE,
                              1U,
                              MHD_OPTION_END);
  if (m_daemon == nullptr) {
    return absl::UnavailableError(Concat("cannot listen on ", aAddress));
  }
  return absl::OkStatus();
}

void
ThreadedHttpServer::Stop()
{
  if (m_daemon != nullptr) {
    MHD_stop_daemon(m_daemon);
    m_daemon = nullptr;
  }
}

} // namespace sapphirehook
