#include "sapphirehook/http1/head.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <strings.h>

namespace sapphirehook {

bool
EqualNoCase(std::string_view aLeft, std::string_view aRight) noexcept
{
  return aLeft.size() == aRight.size() &&
         strncasecmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

const std::string*
FindHeader(const std::vector<Header>& aHeaders, std::string_view aName)
{
  const auto found =
    std::find_if(aHeaders.begin(), aHeaders.end(), [&](const Header& aHeader) {
      return EqualNoCase(aHeader.m_name, aName);
    });
  return found == aHeaders.end() ? nullptr : &found->m_value;
}

bool
IsHopByHopHeader(std::string_view aName)
{
  constexpr std::array<std::string_view, 11> kHopByHopHeaders{
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "proxy-authenticate",
    "proxy-authorization",
    "expect",
    "content-length"
  };
  return std::any_of(kHopByHopHeaders.begin(),
                     kHopByHopHeaders.end(),
                     [&](std::string_view aHopHeader) {
                       return EqualNoCase(aHopHeader, aName);
                     });
}

void
AppendHeader(std::string& aText,
             std::string_view aName,
             std::string_view aValue)
{
  aText.append(aName);
  aText.append(": ");
  aText.append(aValue);
  aText.append("\r\n");
}

void
AppendChunk(std::string& aText, std::string_view aPiece)
{
  if (aPiece.empty()) {
    return;
  }
  constexpr int kHexadecimal = 16;
  std::array<char, 20> size{};
  const auto end = std::to_chars(
    size.data(), size.data() + size.size(), aPiece.size(), kHexadecimal);
  aText.append(size.data(), end.ptr);
  aText.append("\r\n");
  aText.append(aPiece);
  aText.append("\r\n");
}

std::optional<std::uint64_t>
ParseWholeNumber(std::string_view aText) noexcept
{
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value);
  if (aText.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

} // namespace sapphirehook
