#ifndef SAPPHIREHOOK_GATEWAY_HOST_REGISTRY_HPP
#define SAPPHIREHOOK_GATEWAY_HOST_REGISTRY_HPP

#include "sapphirehook/core/backoff.hpp"
#include "sapphirehook/store/store_protocol.hpp"

#include <functional>
#include <string>

namespace sapphirehook {

/** Finds the other daemons at the start: each keeps its peers' address in a
    topic of the store. A daemon that starts reads all of them; those that run
    learn of it from its first message. */
class HostRegistry
{
public:
  using Handler =
    std::function<void(const std::string& aHost, const sockaddr_in& aAddress)>;

  HostRegistry(EventLoop& aLoop,
               const StoreProtocol& aProtocol,
               sockaddr_in aStore,
               std::string aHost,
               std::string aAddress,
               Handler aOnHost);

  void Start();

  /** Whether all hosts that were registered have been read. */
  [[nodiscard]] bool IsDone() const noexcept { return m_done; }

private:
  void Read();
  void OnPage(const KeyedPage& aPage);
  void Register();
  void Retry();

  const StoreProtocol& m_protocol;
  std::string m_host;
  std::string m_address;
  Handler m_onHost;
  HttpClient m_client;
  Timer m_timer;
  Backoff m_backoff;
  std::string m_after;
  bool m_registered = false;
  bool m_done = false;
};

} // namespace sapphirehook

#endif
