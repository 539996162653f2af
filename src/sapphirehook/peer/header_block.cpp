#include "sapphirehook/peer/header_block.hpp"

#include <algorithm>
#include <cctype>

namespace sapphirehook::internal {

namespace {

constexpr std::string_view kForwardedPrefix = "x-";

nghttp2_nv
MakeHeader(const Header& aHeader)
{
  // With NGHTTP2_NV_FLAG_NONE, nghttp2 copies the name and the value and does
  // not modify them.
  const auto bytes = [](const std::string& aText) {
    return const_cast<std::uint8_t*>(
      reinterpret_cast<const std::uint8_t*>(aText.data()));
  };
  return { bytes(aHeader.m_name),
           bytes(aHeader.m_value),
           aHeader.m_name.size(),
           aHeader.m_value.size(),
           NGHTTP2_NV_FLAG_NONE };
}

} // namespace

void
HeaderBlock::Add(std::string aName, std::string aValue)
{
  std::transform(
    aName.begin(), aName.end(), aName.begin(), [](unsigned char aLetter) {
      return static_cast<char>(std::tolower(aLetter));
    });
  m_headers.push_back({ std::move(aName), std::move(aValue) });
}

void
HeaderBlock::AddForwarded(const std::vector<Header>& aHeaders)
{
  for (const auto& header : aHeaders) {
    if (!IsHopByHopHeader(header.m_name)) {
      Add(std::string(kForwardedPrefix) + header.m_name, header.m_value);
    }
  }
}

std::vector<nghttp2_nv>
HeaderBlock::View() const
{
  std::vector<nghttp2_nv> view;
  view.reserve(m_headers.size());
  for (const auto& text : m_headers) {
    view.push_back(MakeHeader(text));
  }
  return view;
}

std::vector<Header>
ForwardedHeaders(const std::vector<Header>& aHeaders)
{
  std::vector<Header> forwarded;
  for (const auto& header : aHeaders) {
    if (header.m_name.starts_with(kForwardedPrefix)) {
      forwarded.push_back(
        { header.m_name.substr(kForwardedPrefix.size()), header.m_value });
    }
  }
  return forwarded;
}

} // namespace sapphirehook::internal
