#ifndef SAPPHIREHOOK_CORE_ADDRESS_HPP
#define SAPPHIREHOOK_CORE_ADDRESS_HPP

#include <absl/status/statusor.h>
#include <cstdint>
#include <netinet/in.h>
#include <string>

namespace sapphirehook {

/** An IPv4 number and a port. */
struct Address
{
  std::string m_host;
  std::uint16_t m_port = 0;

  bool operator==(const Address&) const = default;
};

/** Parses "number:port". Returns InvalidArgument when the text is none. */
[[nodiscard]] absl::StatusOr<Address>
ParseAddress(const std::string& aText);

/** Returns the form that the socket calls take. */
[[nodiscard]] sockaddr_in
ToSocketAddress(const Address& aAddress);

/** Returns a socket address as "number:port". */
[[nodiscard]] std::string
AddressText(const sockaddr_in& aAddress);

} // namespace sapphirehook

#endif
