#ifndef SAPPHIREHOOK_CORE_TEXT_HPP
#define SAPPHIREHOOK_CORE_TEXT_HPP

#include <absl/strings/string_view.h>
#include <concepts>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace sapphirehook {

namespace internal {

template<typename Type>
void
AppendText(std::string& aText, const Type& aPart)
{
  if constexpr (std::is_arithmetic_v<Type> && !std::same_as<Type, char>) {
    aText += std::to_string(aPart);
  } else if constexpr (std::same_as<Type, absl::string_view>) {
    aText.append(aPart.data(), aPart.size());
  } else {
    aText += aPart;
  }
}

} // namespace internal

/** Concatenates texts and numbers into one text. */
template<typename... Parts>
[[nodiscard]] std::string
Concat(const Parts&... aParts)
{
  std::string text;
  (internal::AppendText(text, aParts), ...);
  return text;
}

/** Joins texts with a separator. */
[[nodiscard]] inline std::string
Join(const std::vector<std::string>& aTexts, std::string_view aSeparator)
{
  std::string joined;
  for (const auto& text : aTexts) {
    if (!joined.empty()) {
      joined += aSeparator;
    }
    joined += text;
  }
  return joined;
}

} // namespace sapphirehook

#endif
