#ifndef SAPPHIREHOOK_CORE_ADDRESS_HPP
#define SAPPHIREHOOK_CORE_ADDRESS_HPP

#include <absl/status/statusor.h>
#include <cstdint>
#include <netinet/in.h>
#include <string>

namespace sapphirehook {

/** An IPv4 address and a port. */
struct Address
{
  std::string m_host;
  std::uint16_t m_port = 0;

  bool operator==(const Address&) const = default;
};

/** Parses an address of the form "10.0.0.1:80". Returns InvalidArgument if the
    text has another form. */
[[nodiscard]] absl::StatusOr<Address>
ParseAddress(const std::string& aText);

/** Converts an address to the structure that the socket calls use. */
[[nodiscard]] sockaddr_in
ToSocketAddress(const Address& aAddress);

/** Returns a socket address in the form "10.0.0.1:80". */
[[nodiscard]] std::string
AddressText(const sockaddr_in& aAddress);

} // namespace sapphirehook

#endif
