#include "sapphirehook/core/error.hpp"
#include "sapphirehook/core/text.hpp"
#include "sapphirehook/daemon/settings.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <regex>
#include <sstream>

using namespace sapphirehook;

namespace {

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(Concat(SAPPHIREHOOK_SOURCE_DIR, "/", aPath));
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

TEST_CASE("the operators' page lists every setting as the parser renders it",
          "[documents]")
{
  CHECK(Contains(ReadFile("docs/OPERATIONS.md"), RenderSettingsPage()));
}

TEST_CASE("the interfaces page lists every error kind of the error table",
          "[documents]")
{
  const auto page = ReadFile("docs/INTERFACES.md");
  for (const auto& answer : kErrorAnswers) {
    const auto row = Concat("| ",
                            answer.m_name,
                            " | ",
                            answer.m_status,
                            " | ",
                            OutcomeOf(answer.m_kind),
                            " |");
    INFO(row);
    CHECK(Contains(page, row));
  }
}

TEST_CASE("the error table has the order of the error kinds", "[documents]")
{
  for (std::size_t i = 0; i < kErrorKindCount; ++i) {
    CHECK(static_cast<std::size_t>(kErrorAnswers.at(i).m_kind) == i);
  }
}

TEST_CASE("the capacity page contains the figures of the target", "[documents]")
{
  const auto page = ReadFile("docs/CAPACITY.md");
  for (const std::string figure : { "540 daemons",
                                    "600 million keys",
                                    "4.8 million requests a second",
                                    "9 ms",
                                    "33 keys",
                                    "2 s",
                                    "3 regions",
                                    "7 availability zones",
                                    "2,200",
                                    "10 s",
                                    "1.1%",
                                    "32 MB",
                                    "11 KB",
                                    "81 ",
                                    "an hour" }) {
    INFO(figure);
    CHECK(Contains(page, figure));
  }
}

TEST_CASE("each measured figure of the capacity page matches its stored result "
          "and names a benchmark",
          "[documents]")
{
  const auto page = ReadFile("docs/CAPACITY.md");
  std::map<std::string, nlohmann::json> results;
  for (const auto& item :
       nlohmann::json::parse(ReadFile("benchmark/results/slopes.json"))) {
    results[item.at("name").get<std::string>()] = item;
  }
  // Rows of the form | `name` | intercept | slope | unit | per | command |
  const std::regex row(
    R"(\| `([a-z_]+)` \| ([-0-9.]+) \| ([-0-9.]+) \| [^|]* \| [^|]* \| `benchmark/([a-z_]+)` \|)");
  std::size_t rows = 0;
  for (auto at = std::sregex_iterator(page.begin(), page.end(), row);
       at != std::sregex_iterator();
       ++at) {
    const auto name = (*at)[1].str();
    INFO(name);
    REQUIRE(results.contains(name));
    const auto agrees = [&](const std::string& aText, double aStored) {
      const double shown = std::stod(aText);
      return std::abs(shown - aStored) <=
             0.006 * std::max(std::abs(aStored), 1e-3) + 0.0006;
    };
    CHECK(agrees((*at)[2].str(), results[name].at("intercept")));
    CHECK(agrees((*at)[3].str(), results[name].at("slope")));
    CHECK(std::filesystem::exists(
      Concat(SAPPHIREHOOK_SOURCE_DIR, "/benchmark/", (*at)[4].str(), ".cpp")));
    ++rows;
  }
  CHECK(rows >= results.size() - 1);
}

TEST_CASE("only the platform folder contains the names of the platform",
          "[documents]")
{
  const std::regex names("X-Sapphirehook-|keyed\\.op|keyed\\.servers|"
                         "/sapphirehook/(grant|release|ready|log-)|"
                         "max-concurrency|warmup-left-ms|from-rev|"
                         "end-offset|SAPPHIREHOOK_NODE_FILE|is-sharded");
  for (const char* folder :
       { "src", "programs", "standin", "benchmark", "soak" }) {
    const std::filesystem::path root(
      Concat(SAPPHIREHOOK_SOURCE_DIR, "/", folder));
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(root)) {
      const auto extension = entry.path().extension();
      if (extension != ".cpp" && extension != ".hpp") {
        continue;
      }
      std::ifstream file(entry.path());
      std::stringstream text;
      text << file.rdbuf();
      INFO(entry.path().string());
      CHECK_FALSE(std::regex_search(text.str(), names));
    }
  }
}

TEST_CASE("no type is defined in two headers", "[documents]")
{
  // The linker treats two classes of the same name as one (ODR violation).
  const std::regex definition("(?:^|\n)(?:class|struct) ([A-Z]\\w*)"
                              "(?:\\s+final)?(?:\\s*:[^;{]*)?\\s*\\{");
  std::map<std::string, std::string> seen;
  const std::filesystem::path root(
    Concat(SAPPHIREHOOK_SOURCE_DIR, "/src/sapphirehook"));
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(root)) {
    if (entry.path().extension() != ".hpp") {
      continue;
    }
    std::ifstream file(entry.path());
    std::stringstream stream;
    stream << file.rdbuf();
    const std::string text = stream.str();
    for (auto at = std::sregex_iterator(text.begin(), text.end(), definition);
         at != std::sregex_iterator();
         ++at) {
      const auto name = (*at)[1].str();
      INFO(name << " in " << entry.path().string() << " and " << seen[name]);
      CHECK(seen[name].empty());
      seen[name] = entry.path().string();
    }
  }
  CHECK(seen.size() > 100);
}
