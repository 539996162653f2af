#include "sapphirehook/log/log_service.hpp"

#include "sapphirehook/core/backoff.hpp"
#include "sapphirehook/core/hash.hpp"
#include "sapphirehook/core/text.hpp"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>
#include <poll.h>

namespace sapphirehook {

namespace {

using Json = nlohmann::json;

constexpr Millis kPollWait{ 2000 };
constexpr Millis kReadTimeout{ 3000 };
constexpr Millis kAppendTimeout{ 1000 };
constexpr Millis kInitialBackoff{ 50 };
constexpr Millis kMaxBackoff{ 1000 };
constexpr Millis kHostListInterval{ 1000 };
constexpr Millis kFullRingWait{ 5 };
constexpr long kOk = 200;
constexpr long kCreated = 201;
constexpr long kGone = 410;

Backoff
MakeBackoff(const std::string& aSeed)
{
  return { kInitialBackoff,
           kMaxBackoff,
           static_cast<unsigned>(StableHash(aSeed)) };
}

} // namespace

absl::StatusOr<LogBatch>
ParseLogBatch(const std::string& aText)
{
  LogBatch batch;
  try {
    const auto json = Json::parse(aText);
    batch.m_first = json.at("first").get<Offset>();
    batch.m_next = json.at("next").get<Offset>();
    for (const auto& item : json.at("records")) {
      LogRecord record{ item.at("offset").get<Offset>(), {} };
      const auto data = item.at("data").get<std::string>();
      if (!absl::Base64Unescape(data, &record.m_bytes)) {
        return absl::InvalidArgumentError(
          "data of a log record is not valid base64");
      }
      batch.m_records.push_back(std::move(record));
    }
  } catch (const Json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  return batch;
}

absl::StatusOr<std::vector<ListedHost>>
ParseHostList(const std::string& aText)
{
  std::vector<ListedHost> hosts;
  try {
    const auto json = Json::parse(aText);
    for (const auto& item : json.at("hosts")) {
      hosts.push_back({ item.at("host").get<std::string>(),
                        item.at("state").get<std::string>() == "gone" });
    }
  } catch (const Json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  return hosts;
}

StreamReader::StreamReader(std::string aUrl,
                           std::string aStream,
                           Ring<LogEvent>& aEvents,
                           std::function<void(std::uint64_t)> aOnBytes)
  : m_url(std::move(aUrl))
  , m_stream(std::move(aStream))
  , m_events(aEvents)
  , m_onBytes(std::move(aOnBytes))
{
}

void
StreamReader::Start()
{
  m_worker.Start("log-" + m_stream, [this] { Run(); });
}

void
StreamReader::Stop()
{
  m_worker.Stop();
}

void
StreamReader::Emit(const LogEvent& aEvent)
{
  while (!m_worker.IsStopping() && !m_events.Push(aEvent)) {
    m_worker.SleepFor(kFullRingWait);
  }
}

bool
StreamReader::ReadOnce(BlockingHttpClient& aClient)
{
  const auto url = Concat(m_url,
                          "/v1/streams/",
                          m_stream,
                          "/records?from=",
                          m_next,
                          "&wait_ms=",
                          kPollWait.count());
  const auto answer = aClient.Call("GET", url, "", kReadTimeout);
  if (!answer.ok()) {
    return false;
  }
  m_onBytes(answer->m_body.size() + url.size());
  if (answer->m_status == kGone) {
    const auto json = Json::parse(answer->m_body, nullptr, false);
    if (!json.is_object() || !json.contains("first") ||
        !json["first"].is_number_unsigned()) {
      return false;
    }
    m_next = json["first"].get<Offset>();
    Emit({ LogEvent::Kind::Trimmed, m_next, {} });
    return true;
  }
  if (answer->m_status != kOk) {
    return false;
  }
  const auto batch = ParseLogBatch(answer->m_body);
  if (!batch.ok()) {
    return false;
  }
  for (const auto& record : batch->m_records) {
    Emit({ LogEvent::Kind::Record, record.m_offset, record.m_bytes });
    m_next = record.m_offset + 1;
  }
  if (m_next >= batch->m_next) {
    Emit({ LogEvent::Kind::CaughtUp, m_next, {} });
  }
  return true;
}

void
StreamReader::Run()
{
  BlockingHttpClient client(&m_worker.StopFlag());
  auto backoff = MakeBackoff(m_url + m_stream);
  while (!m_worker.IsStopping()) {
    if (ReadOnce(client)) {
      backoff.Reset();
      continue;
    }
    Emit({ LogEvent::Kind::Unreadable, m_next, {} });
    m_worker.SleepFor(backoff.Next());
  }
}

RecordAppender::RecordAppender(std::string aUrl, std::string aStream)
  : m_url(std::move(aUrl))
  , m_stream(std::move(aStream))
  , m_records(kRingCapacity, [this] { m_waker.Wake(); })
{
}

void
RecordAppender::Start()
{
  m_worker.Start("log-append", [this] { Run(); });
}

void
RecordAppender::Stop()
{
  m_waker.Wake();
  m_worker.Stop();
}

void
RecordAppender::AppendUntilConfirmed(BlockingHttpClient& aClient,
                                     const std::string& aBytes)
{
  auto backoff = MakeBackoff(m_url);
  const auto url = Concat(m_url, "/v1/streams/", m_stream, "/records");
  while (!m_worker.IsStopping()) {
    const auto answer = aClient.Call("POST", url, aBytes, kAppendTimeout);
    const bool confirmed =
      answer.ok() && (answer->m_status == kOk || answer->m_status == kCreated);
    if (confirmed) {
      m_appended.fetch_add(1);
      return;
    }
    m_worker.SleepFor(backoff.Next());
  }
}

void
RecordAppender::Run()
{
  BlockingHttpClient client(&m_worker.StopFlag());
  while (!m_worker.IsStopping()) {
    m_waker.Clear();
    while (const auto bytes = m_records.Pop()) {
      AppendUntilConfirmed(client, *bytes);
    }
    pollfd descriptor{ m_waker.Descriptor(), POLLIN, 0 };
    constexpr int kIdleMs = 500;
    poll(&descriptor, 1, kIdleMs);
  }
}

HostListReader::HostListReader(std::string aUrl,
                               Ring<std::vector<ListedHost>>& aLists)
  : m_url(std::move(aUrl))
  , m_lists(aLists)
{
}

void
HostListReader::Start()
{
  m_worker.Start("host-list", [this] { Run(); });
}

void
HostListReader::Run()
{
  BlockingHttpClient client(&m_worker.StopFlag());
  std::string last;
  while (!m_worker.IsStopping()) {
    const auto answer =
      client.Call("GET", m_url + "/v1/hosts", "", kReadTimeout);
    const bool changed =
      answer.ok() && answer->m_status == kOk && answer->m_body != last;
    if (changed) {
      const auto hosts = ParseHostList(answer->m_body);
      if (hosts.ok() && m_lists.Push(*hosts)) {
        last = answer->m_body;
      }
    }
    m_worker.SleepFor(kHostListInterval);
  }
}

} // namespace sapphirehook
