#include "sapphirehook/operator/log_entry.hpp"

#include "sapphirehook/core/text.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace sapphirehook {

const std::string*
LogEntry::Find(std::string_view aName) const noexcept
{
  const auto found =
    std::find_if(m_fields.begin(), m_fields.end(), [&](const auto& aField) {
      return aField.first == aName;
    });
  return found != m_fields.end() ? &found->second : nullptr;
}

std::optional<long long>
LogEntry::FindNumber(std::string_view aName) const noexcept
{
  const auto* text = Find(aName);
  long long number = 0;
  if (text == nullptr) {
    return std::nullopt;
  }
  const char* end = text->data() + text->size();
  const auto [stop, fault] = std::from_chars(text->data(), end, number);
  if (fault != std::errc{} || stop != end) {
    return std::nullopt;
  }
  return number;
}

std::optional<LogEntry>
ParseLogEntry(std::string_view aLine)
{
  using Json = nlohmann::ordered_json;
  const auto begin = aLine.find('{');
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  const auto json = Json::parse(aLine.substr(begin), nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  LogEntry entry;
  bool hasTime = false;
  for (const auto& [name, value] : json.items()) {
    if (name == "t_ms" && value.is_number_integer()) {
      entry.m_wall = Millis(value.get<Millis::rep>());
      hasTime = true;
    } else if (name == "host" && value.is_string()) {
      entry.m_host = value.get<std::string>();
    } else if (name == "event" && value.is_string()) {
      entry.m_event = value.get<std::string>();
    } else if (name != "boot_ms") {
      entry.m_fields.emplace_back(
        name, value.is_string() ? value.get<std::string>() : value.dump());
    }
  }
  if (!hasTime || entry.m_host.empty() || entry.m_event.empty()) {
    return std::nullopt;
  }
  return entry;
}

std::string
FormatLogEntry(const LogEntry& aEntry, Millis aStart)
{
  std::array<char, 32> time{};
  const std::chrono::duration<double> since = aEntry.m_wall - aStart;
  std::snprintf(time.data(), time.size(), "%+9.3f", since.count());
  std::string text =
    Concat(time.data(), "  ", aEntry.m_host, "  ", aEntry.m_event);
  for (const auto& [name, value] : aEntry.m_fields) {
    const bool quoted = value.empty() || value.find(' ') != std::string::npos;
    const std::string_view quote = quoted ? "\"" : "";
    text += Concat(" ", name, "=", quote, value, quote);
  }
  return text;
}

} // namespace sapphirehook
