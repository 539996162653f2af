#include "standin/log_service.hpp"

#include <absl/strings/escaping.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

namespace standin {

using sapphirehook::HttpRequest;
using sapphirehook::HttpResponse;
using sapphirehook::Offset;
using Json = nlohmann::json;

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr std::size_t kMaxBatch = 1000;
constexpr int kMaxWaitMs = 30'000;

HttpResponse
JsonAnswer(const Json& aJson)
{
  HttpResponse response;
  response.m_body = aJson.dump();
  return response;
}

HttpResponse
Status(int aStatus)
{
  HttpResponse response;
  response.m_status = aStatus;
  return response;
}

std::uint64_t
Number(const HttpRequest& aRequest, const std::string& aName)
{
  const auto found = aRequest.m_query.find(aName);
  return found == aRequest.m_query.end()
           ? 0
           : std::strtoull(found->second.c_str(), nullptr, 10);
}

} // namespace

LogService::LogService()
  : m_server([this](const HttpRequest& aRequest) { return Handle(aRequest); })
{
}

absl::Status
LogService::Start(const std::string& aAddress)
{
  return m_server.Start(aAddress);
}

void
LogService::Stop()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_all();
  m_server.Stop();
}

void
LogService::SetFaults(const LogFaults& aFaults)
{
  const std::lock_guard lock(m_mutex);
  m_faults = aFaults;
  m_changed.notify_all();
}

void
LogService::Trim(const std::string& aStream, Offset aFirst)
{
  const std::lock_guard lock(m_mutex);
  auto& stream = m_streams[aStream];
  while (stream.m_first < aFirst && !stream.m_records.empty()) {
    stream.m_records.pop_front();
    ++stream.m_first;
  }
}

HttpResponse
LogService::Append(const std::string& aStream, const std::string& aBytes)
{
  const std::lock_guard lock(m_mutex);
  auto& stream = m_streams[aStream];
  stream.m_records.push_back(aBytes);
  ++m_appends;
  m_changed.notify_all();
  HttpResponse response =
    JsonAnswer({ { "offset", stream.m_first + stream.m_records.size() - 1 } });
  if (m_faults.m_lostReplies > 0) {
    --m_faults.m_lostReplies;
    response.m_dropConnection = true;
  }
  return response;
}

HttpResponse
LogService::Read(const std::string& aStream, Offset aFrom, int aWaitMs)
{
  std::unique_lock lock(m_mutex);
  auto& stream = m_streams[aStream];
  const auto next = [&] { return stream.m_first + stream.m_records.size(); };
  if (aFrom < stream.m_first) {
    auto response = JsonAnswer({ { "first", stream.m_first } });
    response.m_status = kGone;
    return response;
  }
  m_changed.wait_for(
    lock, std::chrono::milliseconds(std::min(aWaitMs, kMaxWaitMs)), [&] {
      return m_stopping || m_faults.m_down || next() > aFrom;
    });
  if (m_faults.m_down) {
    return Status(kUnavailable);
  }
  Json records = Json::array();
  for (Offset offset = std::max(aFrom, stream.m_first);
       offset < next() && records.size() < kMaxBatch;
       ++offset) {
    const auto& bytes = stream.m_records[offset - stream.m_first];
    records.push_back(
      { { "offset", offset }, { "data", absl::Base64Escape(bytes) } });
  }
  return JsonAnswer({ { "first", stream.m_first },
                      { "next", next() },
                      { "records", records } });
}

HttpResponse
LogService::Control(const HttpRequest& aRequest)
{
  const auto json = Json::parse(aRequest.m_body, nullptr, false);
  if (!json.is_object()) {
    return Status(kBadRequest);
  }
  if (aRequest.m_path == "/faults") {
    SetFaults({ json.value("down", false),
                json.value("slow_ms", 0),
                json.value("lost_replies", 0),
                json.value("cut", std::vector<std::string>()) });
    return JsonAnswer({});
  }
  if (aRequest.m_path == "/trim") {
    Trim(json.value("stream", "state"), json.value("first", Offset{ 0 }));
    return JsonAnswer({});
  }
  const std::lock_guard lock(m_mutex);
  for (const auto& [host, state] : json.items()) {
    m_hosts[host] = state.is_string() ? state.get<std::string>() : "live";
  }
  return JsonAnswer({});
}

HttpResponse
LogService::Handle(const HttpRequest& aRequest)
{
  auto path = aRequest.m_path;
  const auto version = path.find("/v1/");
  std::string caller;
  if (version != std::string::npos && version > 0) {
    caller = path.substr(1, version - 1);
    path = path.substr(version);
  }
  if (path == "/faults" || path == "/trim" || path == "/hosts") {
    return Control(aRequest);
  }
  LogFaults faults;
  {
    const std::lock_guard lock(m_mutex);
    faults = m_faults;
  }
  if (faults.m_slowMs > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(faults.m_slowMs));
  }
  const bool cut =
    std::find(faults.m_cut.begin(), faults.m_cut.end(), caller) !=
    faults.m_cut.end();
  if (faults.m_down || cut) {
    return Status(kUnavailable);
  }
  if (path == "/v1/hosts") {
    const std::lock_guard lock(m_mutex);
    Json hosts = Json::array();
    for (const auto& [host, state] : m_hosts) {
      hosts.push_back({ { "host", host }, { "state", state } });
    }
    return JsonAnswer({ { "hosts", hosts } });
  }
  if (path == "/v1/appends") {
    const std::lock_guard lock(m_mutex);
    return JsonAnswer({ { "appends", m_appends } });
  }
  const std::string prefix = "/v1/streams/";
  const std::string suffix = "/records";
  const bool known = path.starts_with(prefix) && path.ends_with(suffix) &&
                     path.size() > prefix.size() + suffix.size();
  if (!known) {
    return Status(kNotFound);
  }
  const auto stream =
    path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
  if (aRequest.m_method == "POST") {
    return Append(stream, aRequest.m_body);
  }
  return Read(stream,
              Number(aRequest, "from"),
              static_cast<int>(Number(aRequest, "wait_ms")));
}

} // namespace standin
