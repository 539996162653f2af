#include "sapphirehook/core/address.hpp"

#include "sapphirehook/core/text.hpp"

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace sapphirehook {

absl::StatusOr<Address>
ParseAddress(const std::string& aText)
{
  const auto fault = absl::InvalidArgumentError(Concat(
    "'", aText, "' is not an IPv4 address and a port such as 10.0.0.1:80"));
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return fault;
  }
  Address address{ aText.substr(0, colon), 0 };
  in_addr number{};
  const char* first = aText.data() + colon + 1;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(first, end, address.m_port);
  const bool valid = parsed.ec == std::errc() && parsed.ptr == end &&
                     inet_pton(AF_INET, address.m_host.c_str(), &number) == 1;
  if (!valid) {
    return fault;
  }
  return address;
}

sockaddr_in
ToSocketAddress(const Address& aAddress)
{
  sockaddr_in socketAddress{};
  socketAddress.sin_family = AF_INET;
  socketAddress.sin_port = htons(aAddress.m_port);
  inet_pton(AF_INET, aAddress.m_host.c_str(), &socketAddress.sin_addr);
  return socketAddress;
}

std::string
AddressText(const sockaddr_in& aAddress)
{
  std::array<char, INET_ADDRSTRLEN> number{};
  inet_ntop(AF_INET, &aAddress.sin_addr, number.data(), number.size());
  return Concat(number.data(), ":", ntohs(aAddress.sin_port));
}

} // namespace sapphirehook
