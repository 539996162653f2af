#include "standin/endpoint.hpp"

#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace standin {

using sapphirehook::BootClock;
using sapphirehook::FencingToken;
using sapphirehook::HttpRequest;
using sapphirehook::HttpResponse;
using sapphirehook::Millis;
using sapphirehook::SinceBoot;
using Json = nlohmann::json;

namespace {

constexpr int kBadRequest = 400;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

std::string
HeaderOf(const HttpRequest& aRequest, const std::string& aName)
{
  const auto found = aRequest.m_headers.find(aName);
  return found == aRequest.m_headers.end() ? std::string() : found->second;
}

FencingToken
FenceOf(const HttpRequest& aRequest)
{
  FencingToken token;
  const auto text = HeaderOf(aRequest, "sapphirehook-fence");
  const auto dot = text.find('.');
  if (dot != std::string::npos) {
    token.m_term = std::strtoull(text.c_str(), nullptr, 10);
    token.m_sequence = std::strtoull(text.c_str() + dot + 1, nullptr, 10);
  }
  return token;
}

std::string
KeyOf(const HttpRequest& aRequest)
{
  auto key = HeaderOf(aRequest, "x-key");
  if (!key.empty()) {
    return key;
  }
  const auto start = aRequest.m_path.find('/', 1);
  if (start == std::string::npos) {
    return {};
  }
  const auto end = aRequest.m_path.find('/', start + 1);
  return aRequest.m_path.substr(start + 1, end - start - 1);
}

Json
ToJson(const ServedRequest& aServed)
{
  return { { "key", aServed.m_key },
           { "path", aServed.m_path },
           { "idempotency_key", aServed.m_idempotencyKey },
           { "term", aServed.m_token.m_term },
           { "sequence", aServed.m_token.m_sequence },
           { "partition", aServed.m_partition },
           { "body_bytes", aServed.m_bodyBytes },
           { "start_ms", aServed.m_start.count() },
           { "end_ms", aServed.m_end.count() } };
}

HttpResponse
NotRun(int aStatus)
{
  HttpResponse response;
  response.m_status = aStatus;
  response.m_headers["Sapphirehook-Outcome"] = "not-run";
  return response;
}

} // namespace

Endpoint::Endpoint(EndpointBehavior aBehavior)
  : m_behavior(std::move(aBehavior))
  , m_boot(std::to_string(std::random_device()()))
  , m_server([this](const HttpRequest& aRequest) { return Handle(aRequest); })
{
  if (!m_behavior.m_journal.empty()) {
    m_journal.open(m_behavior.m_journal, std::ios::app);
  }
}

absl::Status
Endpoint::Start(const std::string& aAddress)
{
  return m_server.Start(aAddress);
}

void
Endpoint::SetBehavior(const EndpointBehavior& aBehavior)
{
  const std::lock_guard lock(m_mutex);
  m_behavior = aBehavior;
}

EndpointBehavior
Endpoint::Behavior() const
{
  const std::lock_guard lock(m_mutex);
  return m_behavior;
}

std::vector<ServedRequest>
Endpoint::Served() const
{
  const std::lock_guard lock(m_mutex);
  return m_served;
}

HttpResponse
Endpoint::OnLease(const HttpRequest& aRequest)
{
  const auto json = Json::parse(aRequest.m_body, nullptr, false);
  HttpResponse response;
  if (!json.is_object()) {
    response.m_status = kBadRequest;
    return response;
  }
  const std::lock_guard lock(m_mutex);
  if (m_behavior.m_muteLease || !m_behavior.m_checksGrants) {
    response.m_dropConnection = true;
    return response;
  }
  const auto now = SinceBoot(BootClock::now());
  bool accepted = false;
  if (json.contains("token")) {
    const FencingToken token{ json["token"].value("term", std::uint64_t{ 0 }),
                              json["token"].value("sequence",
                                                  std::uint64_t{ 0 }) };
    const bool grant = aRequest.m_method == "PUT";
    const bool tokenFits = grant ? token >= m_token : token == m_token;
    accepted = tokenFits && json.value("boot", "") == m_boot;
    if (accepted) {
      const Millis until(json.value("until_ms", Millis::rep{ 0 }));
      m_leaseExpiry = token == m_token ? std::max(m_leaseExpiry, until) : until;
      m_token = token;
    }
  }
  Json running = Json::array();
  if (!m_behavior.m_hideRunning) {
    for (const auto& [id, partition] : m_running) {
      running.push_back(partition);
    }
  }
  response.m_body = Json{
    { "boot", m_boot },
    { "clock_ms", now.count() },
    { "accepted", accepted },
    { "draining", m_behavior.m_draining },
    { "running", running }
  }.dump();
  return response;
}

HttpResponse
Endpoint::OnControl(const HttpRequest& aRequest)
{
  const auto json = Json::parse(aRequest.m_body, nullptr, false);
  HttpResponse response;
  if (!json.is_object()) {
    response.m_status = kBadRequest;
    return response;
  }
  const std::lock_guard lock(m_mutex);
  auto& behavior = m_behavior;
  behavior.m_serviceMs = json.value("service_ms", behavior.m_serviceMs);
  behavior.m_draining = json.value("draining", behavior.m_draining);
  behavior.m_shedding = json.value("shedding", behavior.m_shedding);
  behavior.m_cutAfter = json.value("cut_after", behavior.m_cutAfter);
  behavior.m_dropAnswers = json.value("drop_answers", behavior.m_dropAnswers);
  behavior.m_muteLease = json.value("mute_lease", behavior.m_muteLease);
  behavior.m_hideRunning = json.value("hide_running", behavior.m_hideRunning);
  response.m_body = "{}";
  return response;
}

HttpResponse
Endpoint::OnRecords() const
{
  Json list = Json::array();
  for (const auto& served : Served()) {
    list.push_back(ToJson(served));
  }
  HttpResponse response;
  response.m_body = list.dump();
  return response;
}

bool
Endpoint::MayRun(const HttpRequest& aRequest) const
{
  if (!m_behavior.m_checksGrants) {
    return true;
  }
  const auto fence = FenceOf(aRequest);
  const bool tokenFits = fence.m_term == m_token.m_term &&
                         fence.m_sequence <= m_token.m_sequence &&
                         fence.m_term > 0;
  return tokenFits && SinceBoot(BootClock::now()) < m_leaseExpiry;
}

void
Endpoint::WriteJournal(std::uint64_t aId, const ServedRequest& aServed)
{
  if (!m_journal.is_open()) {
    return;
  }
  auto line = ToJson(aServed);
  line["id"] = m_boot + "-" + std::to_string(aId);
  m_journal << line.dump() << std::endl;
}

HttpResponse
Endpoint::Run(const HttpRequest& aRequest)
{
  ServedRequest served;
  served.m_key = KeyOf(aRequest);
  served.m_path = aRequest.m_path;
  served.m_idempotencyKey = HeaderOf(aRequest, "idempotency-key");
  served.m_token = FenceOf(aRequest);
  served.m_bodyBytes = aRequest.m_bodySize;
  served.m_partition = std::strtoull(
    HeaderOf(aRequest, "sapphirehook-partition").c_str(), nullptr, 10);
  EndpointBehavior behavior;
  std::uint64_t id = 0;
  {
    const std::lock_guard lock(m_mutex);
    behavior = m_behavior;
    if (!MayRun(aRequest)) {
      return NotRun(kMisdirected);
    }
    if (behavior.m_shedding) {
      return NotRun(kUnavailable);
    }
    id = ++m_lastRunId;
    m_running[id] = served.m_partition;
    served.m_start = SinceBoot(BootClock::now());
    served.m_end = served.m_start;
    WriteJournal(id, served);
  }
  const auto requested = HeaderOf(aRequest, "x-service-ms");
  const Millis work(requested.empty() ? behavior.m_serviceMs
                                      : std::atoi(requested.c_str()));
  std::this_thread::sleep_for(work);
  HttpResponse response;
  response.m_headers["Content-Type"] = "application/json";
  response.m_body = Json{
    { "endpoint", behavior.m_name },
    { "key", served.m_key },
    { "bytes", aRequest.m_bodySize }
  }.dump() + "\n";
  response.m_fillerBytes =
    std::strtoull(HeaderOf(aRequest, "x-download-bytes").c_str(), nullptr, 10);
  response.m_cutAfter = behavior.m_cutAfter;
  response.m_dropConnection = behavior.m_dropAnswers;
  const std::lock_guard lock(m_mutex);
  served.m_end = SinceBoot(BootClock::now());
  m_running.erase(id);
  WriteJournal(id, served);
  m_served.push_back(std::move(served));
  return response;
}

HttpResponse
Endpoint::Handle(const HttpRequest& aRequest)
{
  if (aRequest.m_path == "/sapphirehook/v1/grant" ||
      aRequest.m_path == "/sapphirehook/v1/lease") {
    return OnLease(aRequest);
  }
  if (aRequest.m_path == "/standin/behavior") {
    return OnControl(aRequest);
  }
  if (aRequest.m_path == "/standin/records") {
    return OnRecords();
  }
  if (aRequest.m_path == "/") {
    return {};
  }
  return Run(aRequest);
}

} // namespace standin
