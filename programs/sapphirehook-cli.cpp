#include "sapphirehook/core/http_client.hpp"
#include "sapphirehook/core/text.hpp"
#include "sapphirehook/daemon/settings.hpp"
#include "sapphirehook/operator/log_commands.hpp"
#include "sapphirehook/operator/ticket.hpp"
#include "sapphirehook/operator/timeline.hpp"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace {

using Json = nlohmann::json;
using sapphirehook::Concat;
using sapphirehook::Millis;

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr Millis kTimeout{ 5000 };
constexpr long kOk = 200;
constexpr long kAccepted = 202;

constexpr std::string_view kCommands = R"(
Commands:
  check FILE              check settings (.yaml) or a ticket (.json)
  ticket file FILE        file a ticket with the log service (--log)
  ticket status [NUMBER]  show what became of tickets (--daemon)
  status                  show a daemon's view of the system (--daemon)
  routes                  show the way of a key (--daemon --service --key)
  timeline                merge the time lines of daemons (--daemon, repeated)
  timeline FILE...        merge logs of gateways, a file for each process
  explain ID FILE...      tell what gateways' logs know of a request
  drain                   ask a daemon for a planned stop (--daemon)
  settings                print the table of all settings

Exit codes: 0 done, 1 failed or refused, 2 wrong use or invalid input.
)";

/** Parsed command line. m_words are the positional arguments. */
struct Invocation
{
  std::vector<std::string> m_words;
  std::vector<std::string> m_daemons;
  std::string m_log;
  std::string m_service;
  std::string m_key;
  std::string m_group;
  std::string m_endpoint;
  long long m_sinceMs = 0;
  bool m_json = false;
  bool m_html = false;
};

/** Prints a message and returns the exit code of a usage error. */
int
UsageError(const std::string& aMessage)
{
  std::cerr << aMessage << "\n";
  return kExitUsage;
}

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/** Calls a daemon and returns the body of its answer. On failure, prints a
    message and returns empty. */
std::optional<std::string>
CallDaemon(const std::string& aDaemon,
           const std::string& aMethod,
           const std::string& aPath)
{
  sapphirehook::BlockingHttpClient client;
  const auto answer =
    client.Call(aMethod, Concat("http://", aDaemon, aPath), "", kTimeout);
  if (!answer.ok()) {
    std::cerr << aDaemon << ": " << answer.status().message()
              << "; expected the operators' port of a running daemon\n";
    return std::nullopt;
  }
  if (answer->m_status != kOk && answer->m_status != kAccepted) {
    std::cerr << aDaemon << ": expected status 200 or 202, got "
              << answer->m_status << "\n";
    return std::nullopt;
  }
  return answer->m_body;
}

int
Check(const Invocation& aCall)
{
  if (aCall.m_words.size() < 2) {
    return UsageError("check: expected a file name; see --help");
  }
  const auto& path = aCall.m_words[1];
  const auto text = ReadFile(path);
  if (!text) {
    return UsageError(path + ": cannot be read");
  }
  const auto status = path.ends_with(".json")
                        ? sapphirehook::ParseTicket(*text).status()
                        : sapphirehook::ParseSettings(*text).status();
  if (!status.ok()) {
    return UsageError(Concat(path, ":\n", status.message()));
  }
  std::cout << path << ": valid\n";
  return 0;
}

int
FileTicket(const Invocation& aCall)
{
  if (aCall.m_words.size() < 3 || aCall.m_log.empty()) {
    return UsageError(
      "ticket file: expected a file name and --log URL; see --help");
  }
  const auto text = ReadFile(aCall.m_words[2]);
  if (!text) {
    return UsageError(aCall.m_words[2] + ": cannot be read");
  }
  const auto ticket = sapphirehook::ParseTicket(*text);
  if (!ticket.ok()) {
    return UsageError(
      Concat(aCall.m_words[2], ":\n", ticket.status().message()));
  }
  sapphirehook::BlockingHttpClient client;
  const auto answer = client.Call(
    "POST", aCall.m_log + "/v1/streams/tickets/records", *text, kTimeout);
  if (!answer.ok() || answer->m_status != kOk) {
    std::cerr << "the log service did not acknowledge ticket "
              << ticket->m_number
              << "; the same file can safely be filed again\n";
    return kExitFailure;
  }
  std::cout << "filed ticket " << ticket->m_number
            << "; `sapphirehook ticket status " << ticket->m_number
            << "` shows whether it is in force\n";
  return 0;
}

int
TicketStatus(const Invocation& aCall)
{
  const auto body = CallDaemon(aCall.m_daemons.front(), "GET", "/tickets");
  if (!body) {
    return kExitFailure;
  }
  const auto wanted = aCall.m_words.size() > 2 ? aCall.m_words[2] : "";
  bool found = wanted.empty();
  bool accepted = wanted.empty();
  const auto tickets = Json::parse(*body);
  for (const auto& ticket : tickets) {
    const auto number = std::to_string(ticket.at("number").get<long long>());
    if (!wanted.empty() && number != wanted) {
      continue;
    }
    found = true;
    accepted = accepted || ticket.at("accepted").get<bool>();
    if (aCall.m_json) {
      std::cout << ticket.dump() << "\n";
    } else if (ticket.at("accepted").get<bool>()) {
      std::cout << number << " in force\n";
    } else {
      std::cout << number
                << " refused: " << ticket.at("reason").get<std::string>()
                << "\n";
    }
  }
  if (!found) {
    std::cerr << "ticket " << wanted << " has not been read yet\n";
  }
  return found && accepted ? 0 : kExitFailure;
}

void
PrintStatus(const Json& aStatus)
{
  std::cout << aStatus.at("host").get<std::string>() << ": offset "
            << aStatus.at("offset") << ", log "
            << (aStatus.at("log_readable") ? "readable" : "unreadable")
            << (aStatus.at("stale") ? ", stale" : "")
            << (aStatus.at("stopping") ? ", stopping" : "") << ", "
            << aStatus.at("members").size() << " daemons, "
            << aStatus.at("active_requests") << " requests\n";
  for (const auto& [name, group] : aStatus.at("groups").items()) {
    std::cout << "group " << name << " term " << group.at("term")
              << " dispatcher " << group.at("dispatcher").get<std::string>()
              << " standbys " << group.at("standbys").dump()
              << (group.at("authority") ? " (leads here)" : "") << "\n";
  }
  for (const auto& [name, endpoint] : aStatus.at("endpoints").items()) {
    std::cout << "endpoint " << name << " of "
              << endpoint.at("service").get<std::string>() << ", group "
              << endpoint.at("group").get<std::string>()
              << (endpoint.at("up") ? ", up" : ", down")
              << (endpoint.at("draining") ? ", draining" : "")
              << (endpoint.at("leaving") ? ", leaving" : "") << "\n";
  }
}

int
ShowStatus(const Invocation& aCall)
{
  const auto body = CallDaemon(aCall.m_daemons.front(), "GET", "/status");
  if (!body) {
    return kExitFailure;
  }
  if (aCall.m_json) {
    std::cout << *body << "\n";
  } else {
    PrintStatus(Json::parse(*body));
  }
  return 0;
}

int
ShowRoute(const Invocation& aCall)
{
  if (aCall.m_service.empty() || aCall.m_key.empty()) {
    return UsageError("routes: --service and --key are required; see --help");
  }
  const auto body = CallDaemon(
    aCall.m_daemons.front(),
    "GET",
    Concat("/routes?service=", aCall.m_service, "&key=", aCall.m_key));
  if (!body) {
    return kExitFailure;
  }
  if (aCall.m_json) {
    std::cout << *body << "\n";
    return 0;
  }
  const auto route = Json::parse(*body);
  std::cout << "key " << aCall.m_key << ": endpoint "
            << route.at("endpoint").get<std::string>() << ", group "
            << route.at("group").get<std::string>() << ", dispatcher "
            << route.at("dispatcher").get<std::string>() << "\n";
  return 0;
}

int
ShowTimeline(const Invocation& aCall)
{
  std::vector<std::vector<sapphirehook::TimelineEvent>> timelines;
  for (const auto& daemon : aCall.m_daemons) {
    const auto body = CallDaemon(daemon, "GET", "/timeline");
    if (!body) {
      continue;
    }
    auto events = sapphirehook::ParseTimeline(*body);
    if (events.ok()) {
      timelines.push_back(*std::move(events));
    }
  }
  if (timelines.empty()) {
    return kExitFailure;
  }
  const auto merged = sapphirehook::MergeTimelines(
    std::move(timelines),
    { aCall.m_group, aCall.m_endpoint, Millis(aCall.m_sinceMs) });
  if (aCall.m_json) {
    std::cout << sapphirehook::EncodeTimeline(merged) << "\n";
  } else if (aCall.m_html) {
    std::cout << sapphirehook::RenderTimeline(merged);
  } else {
    for (const auto& event : merged) {
      std::cout << event.m_offset << " " << event.m_wall.count() << " "
                << event.m_host << " " << event.m_kind << " " << event.m_group
                << " " << event.m_endpoint << " " << event.m_detail << "\n";
    }
  }
  return 0;
}

/** Prints the message of a failed status and returns the exit code. */
int
ExitCode(const absl::Status& aStatus)
{
  if (aStatus.ok()) {
    return 0;
  }
  std::cerr << aStatus.message() << "\n";
  return absl::IsInvalidArgument(aStatus) ? kExitUsage : kExitFailure;
}

int
Explain(const Invocation& aCall)
{
  const auto& words = aCall.m_words;
  if (words.size() < 3) {
    return UsageError(
      "explain: expected a request id and log files; see --help");
  }
  return ExitCode(sapphirehook::ExplainRequest(
    std::cout, words[1], { words.begin() + 2, words.end() }));
}

int
ShowLogTimeline(const Invocation& aCall)
{
  const auto& words = aCall.m_words;
  return ExitCode(sapphirehook::PrintLogTimeline(
    std::cout,
    { words.begin() + 1, words.end() },
    { aCall.m_group, aCall.m_endpoint, Millis(aCall.m_sinceMs) }));
}

int
Drain(const Invocation& aCall)
{
  if (!CallDaemon(aCall.m_daemons.front(), "POST", "/drain")) {
    return kExitFailure;
  }
  std::cout << "stopping; the process ends when all requests have finished\n";
  return 0;
}

int
Execute(const Invocation& aCall)
{
  const auto& words = aCall.m_words;
  if (words.empty()) {
    return UsageError("expected a command; see --help");
  }
  const auto second = words.size() > 1 ? words[1] : "";
  if (words[0] == "check") {
    return Check(aCall);
  }
  if (words[0] == "settings") {
    std::cout << sapphirehook::RenderSettingsPage();
    return 0;
  }
  if (words[0] == "ticket" && second == "file") {
    return FileTicket(aCall);
  }
  if (words[0] == "explain") {
    return Explain(aCall);
  }
  if (words[0] == "timeline" && words.size() > 1) {
    return ShowLogTimeline(aCall);
  }
  const bool known = words[0] == "status" || words[0] == "routes" ||
                     words[0] == "timeline" || words[0] == "drain" ||
                     (words[0] == "ticket" && second == "status");
  if (!known) {
    return UsageError("unknown command; see --help");
  }
  if (aCall.m_daemons.empty()) {
    return UsageError(
      "option --daemon IP:PORT (an operators' port) is required");
  }
  if (words[0] == "status") {
    return ShowStatus(aCall);
  }
  if (words[0] == "routes") {
    return ShowRoute(aCall);
  }
  if (words[0] == "timeline") {
    return ShowTimeline(aCall);
  }
  return words[0] == "drain" ? Drain(aCall) : TicketStatus(aCall);
}

int
Run(int aCount, char** aArguments)
{
  cxxopts::Options options("sapphirehook", "Command-line tool for operators.");
  options.add_options()("daemon",
                        "address of a daemon's operators' port",
                        cxxopts::value<std::vector<std::string>>())(
    "log", "address of the log service", cxxopts::value<std::string>())(
    "service", "name of a service", cxxopts::value<std::string>())(
    "key", "key", cxxopts::value<std::string>())(
    "group", "show only events of this group", cxxopts::value<std::string>())(
    "endpoint",
    "show only events of this endpoint",
    cxxopts::value<std::string>())(
    "since-ms",
    "show only events from this wall-clock time on, in ms",
    cxxopts::value<long long>())("json", "print JSON")("html",
                                                       "print an HTML page")(
    "version", "print the version")("help", "print this help")(
    "words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional("words");
  options.positional_help("COMMAND");
  const auto given = options.parse(aCount, aArguments);
  if (given.count("help") > 0) {
    std::cout << options.help() << kCommands;
    return 0;
  }
  if (given.count("version") > 0) {
    std::cout << "sapphirehook " << SAPPHIREHOOK_VERSION << "\n";
    return 0;
  }
  const auto text = [&](const std::string& aName) {
    return given.count(aName) > 0 ? given[aName].as<std::string>()
                                  : std::string();
  };
  const auto texts = [&](const std::string& aName) {
    return given.count(aName) > 0 ? given[aName].as<std::vector<std::string>>()
                                  : std::vector<std::string>();
  };
  Invocation call;
  call.m_words = texts("words");
  call.m_daemons = texts("daemon");
  call.m_log = text("log");
  call.m_service = text("service");
  call.m_key = text("key");
  call.m_group = text("group");
  call.m_endpoint = text("endpoint");
  call.m_sinceMs =
    given.count("since-ms") > 0 ? given["since-ms"].as<long long>() : 0;
  call.m_json = given.count("json") > 0;
  call.m_html = given.count("html") > 0;
  return Execute(call);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  sapphirehook::InitHttp();
  try {
    return Run(aCount, aArguments);
  } catch (const std::exception& error) {
    return UsageError(Concat(error.what(), "; see --help"));
  }
}
