#include "sapphirehook/gateway/host_registry.hpp"

#include "sapphirehook/core/hash.hpp"

#include <cstdlib>
#include <utility>

namespace sapphirehook {

namespace {

constexpr const char* kTopic = "keyed.hosts";
constexpr Millis kCallTimeout{ 1500 };
constexpr Millis kFirstRetry{ 150 };
constexpr Millis kLongestRetry{ 1500 };

} // namespace

std::string
SerializeHostEntry(const HostEntry& aEntry)
{
  return aEntry.m_peers.m_host + ":" + std::to_string(aEntry.m_peers.m_port) +
         " " + std::to_string(aEntry.m_processorShare);
}

absl::StatusOr<HostEntry>
ParseHostEntry(const std::string& aText)
{
  const auto space = aText.find(' ');
  const auto address = ParseAddress(aText.substr(0, space));
  if (!address.ok()) {
    return address.status();
  }
  HostEntry entry{ *address, 0.0 };
  if (space != std::string::npos) {
    const char* begin = aText.c_str() + space + 1;
    char* end = nullptr;
    entry.m_processorShare = std::strtod(begin, &end);
    if (end == begin || *end != '\0') {
      return absl::InvalidArgumentError(
        "expected a number of cores after the address in \"" + aText + "\"");
    }
  }
  return entry;
}

HostRegistry::HostRegistry(EventLoop& aLoop,
                           const StoreProtocol& aProtocol,
                           sockaddr_in aStore,
                           std::string aHost,
                           const HostEntry& aEntry,
                           Handler aOnHost)
  : m_protocol(aProtocol)
  , m_host(std::move(aHost))
  , m_entry(SerializeHostEntry(aEntry))
  , m_onHost(std::move(aOnHost))
  , m_client(aLoop, aStore)
  , m_timer(aLoop, [this] { Read(); })
  , m_backoff(kFirstRetry,
              kLongestRetry,
              static_cast<unsigned>(StableHash(m_host)))
{
}

void
HostRegistry::Start(bool aFirstStart)
{
  if (aFirstStart) {
    Register();
  } else {
    Read();
  }
}

void
HostRegistry::RegisterAgain()
{
  if (m_listed) {
    m_client.Abort();
    m_registered = false;
    Register();
  }
}

void
HostRegistry::Retry()
{
  m_timer.Start(m_backoff.Next());
}

void
HostRegistry::Read()
{
  m_client.Call(m_protocol.m_newest(kTopic, m_after),
                kCallTimeout,
                [this](const CallResult& aResult) {
                  OnPage(m_protocol.m_parseNewest(aResult));
                });
}

void
HostRegistry::OnPage(const KeyedPage& aPage)
{
  if (aPage.m_answer != StoreAnswer::Ok) {
    Retry();
    return;
  }
  for (const auto& record : aPage.m_records) {
    m_after = record.m_key;
    const auto entry = ParseHostEntry(record.m_value.value_or(""));
    if (record.m_key == m_host) {
      m_registered = m_registered || record.m_value == m_entry;
    } else if (entry.ok()) {
      m_onHost(record.m_key, *entry);
    }
  }
  if (aPage.m_hasMore && !aPage.m_records.empty()) {
    Read();
    return;
  }
  m_listed = true;
  if (!m_registered) {
    Register();
  }
}

/** Writes this host's entry and then reads all entries again. Of two hosts that
    start at the same time, the one that writes later finds the other. */
void
HostRegistry::Register()
{
  m_client.Call(
    m_protocol.m_append(kTopic, std::nullopt, { { 0, m_host, m_entry } }),
    kCallTimeout,
    [this](const CallResult& aResult) {
      m_after.clear();
      if (m_protocol.m_parseAppend(aResult).m_answer == StoreAnswer::Ok) {
        m_registered = true;
        Read();
      } else {
        Retry();
      }
    });
}

} // namespace sapphirehook
