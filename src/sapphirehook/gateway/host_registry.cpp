#include "sapphirehook/gateway/host_registry.hpp"

#include "sapphirehook/core/address.hpp"
#include "sapphirehook/core/hash.hpp"

#include <utility>

namespace sapphirehook {

namespace {

constexpr const char* kTopic = "keyed.hosts";
constexpr Millis kCallTimeout{ 1500 };
constexpr Millis kFirstRetry{ 150 };
constexpr Millis kLongestRetry{ 1500 };

} // namespace

HostRegistry::HostRegistry(EventLoop& aLoop,
                           const StoreProtocol& aProtocol,
                           sockaddr_in aStore,
                           std::string aHost,
                           std::string aAddress,
                           Handler aOnHost)
  : m_protocol(aProtocol)
  , m_host(std::move(aHost))
  , m_address(std::move(aAddress))
  , m_onHost(std::move(aOnHost))
  , m_client(aLoop, aStore)
  , m_timer(aLoop, [this] { Read(); })
  , m_backoff(kFirstRetry,
              kLongestRetry,
              static_cast<unsigned>(StableHash(m_host)))
{
}

void
HostRegistry::Start()
{
  Read();
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
    const auto address = ParseAddress(record.m_value.value_or(""));
    if (record.m_key == m_host) {
      m_registered = m_registered || record.m_value == m_address;
    } else if (address.ok()) {
      m_onHost(record.m_key, ToSocketAddress(*address));
    }
  }
  if (aPage.m_hasMore && !aPage.m_records.empty()) {
    Read();
  } else if (m_registered) {
    m_done = true;
  } else {
    Register();
  }
}

/** Writes this host's entry, then reads again: of two hosts that start at
    once, the later one to write finds the other. */
void
HostRegistry::Register()
{
  m_client.Call(
    m_protocol.m_append(kTopic, std::nullopt, { { 0, m_host, m_address } }),
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
