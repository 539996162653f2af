#ifndef SAPPHIREHOOK_GATEWAY_HOST_REGISTRY_HPP
#define SAPPHIREHOOK_GATEWAY_HOST_REGISTRY_HPP

#include "sapphirehook/core/address.hpp"
#include "sapphirehook/core/backoff.hpp"
#include "sapphirehook/store/store_protocol.hpp"

#include <absl/status/statusor.h>
#include <functional>
#include <string>

namespace sapphirehook {

/** Entry that a host registers about itself. */
struct HostEntry
{
  /** Address for datagrams to the host's daemon. */
  Address m_peers;
  /** Share of a core that the daemon may use. */
  double m_processorShare = 0.0;
};

/** Returns the stored form of an entry. */
[[nodiscard]] std::string
SerializeHostEntry(const HostEntry& aEntry);

/** Parses the stored form of an entry. */
[[nodiscard]] absl::StatusOr<HostEntry>
ParseHostEntry(const std::string& aText);

/** Finds the other daemons at the start. Each daemon registers its address for
    peers in a topic of the store. A starting daemon reads all entries of the
    topic; running daemons learn its address from its first message. */
class HostRegistry
{
public:
  using Handler =
    std::function<void(const std::string& aHost, const HostEntry& aEntry)>;

  HostRegistry(EventLoop& aLoop,
               const StoreProtocol& aProtocol,
               sockaddr_in aStore,
               std::string aHost,
               const HostEntry& aEntry,
               Handler aOnHost);

  /** Reads the entries of the other hosts and registers this one. At a first
      start this host's entry is written first, since no host is registered
      yet. */
  void Start(bool aFirstStart);

  /** Writes this host's entry again, after the store may have lost it. Does
      nothing before the entries have been read once. */
  void RegisterAgain();

  /** Whether the entries of the other hosts have been read once. */
  [[nodiscard]] bool IsListed() const noexcept { return m_listed; }

private:
  void Read();
  void OnPage(const KeyedPage& aPage);
  void Register();
  void Retry();

  const StoreProtocol& m_protocol;
  std::string m_host;
  std::string m_entry;
  Handler m_onHost;
  HttpClient m_client;
  Timer m_timer;
  Backoff m_backoff;
  std::string m_after;
  bool m_registered = false;
  bool m_listed = false;
};

} // namespace sapphirehook

#endif
