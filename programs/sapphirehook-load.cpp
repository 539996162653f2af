#include "sapphirehook/core/text.hpp"
#include "sapphirehook/core/time.hpp"

#include <algorithm>
#include <cmath>
#include <curl/curl.h>
#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <vector>

namespace {

using Json = nlohmann::json;
using sapphirehook::BootClock;
using sapphirehook::Concat;
using sapphirehook::Millis;
using sapphirehook::TimePoint;

/** The load to send, from the command line. */
struct Plan
{
  std::vector<std::string> m_targets;
  std::string m_path;
  double m_rate = 0;
  double m_seconds = 0;
  /** Factor of the rate in the middle third of the run. */
  double m_loadSwing = 1;
  double m_longShare = 0;
  int m_shortMs = 0;
  int m_longMs = 0;
  int m_deadlineMs = 0;
  unsigned m_keys = 0;
  unsigned m_seed = 0;
};

/** Result of a finished request. */
struct Sample
{
  double m_at = 0;
  double m_seconds = 0;
  bool m_long = false;
  bool m_good = false;
  std::string m_outcome;
};

/** A request in flight. */
struct Request
{
  CURL* m_easy = nullptr;
  curl_slist* m_headers = nullptr;
  TimePoint m_due{};
  bool m_long = false;
  std::string m_outcome;
};

std::size_t
Discard(char*, std::size_t aSize, std::size_t aCount, void*)
{
  return aSize * aCount;
}

std::size_t
OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aRequest)
{
  const std::string_view line(aData, aSize * aCount);
  constexpr std::string_view kName = "Sapphirehook-Error: ";
  if (line.starts_with(kName)) {
    const auto value = line.substr(kName.size());
    static_cast<Request*>(aRequest)->m_outcome =
      std::string(value.substr(0, value.find('\r')));
  }
  return line.size();
}

/** Open-loop load generator: sends requests at scheduled times, independently
    of the answers. */
class Load
{
public:
  explicit Load(Plan aPlan)
    : m_plan(std::move(aPlan))
    , m_random(m_plan.m_seed)
    , m_multi(curl_multi_init())
  {
  }

  Json Run()
  {
    m_start = BootClock::now();
    const auto end =
      m_start + std::chrono::duration_cast<std::chrono::nanoseconds>(
                  std::chrono::duration<double>(m_plan.m_seconds));
    auto due = m_start;
    while (due < end || m_running > 0) {
      const auto now = BootClock::now();
      while (due <= now && due < end) {
        Begin(due);
        due += NextGap(due);
      }
      int running = 0;
      curl_multi_perform(m_multi, &running);
      CollectFinished();
      const bool late = due <= BootClock::now() && due < end;
      curl_multi_poll(m_multi, nullptr, 0, late ? 0 : 1, nullptr);
    }
    return Summary();
  }

private:
  std::chrono::nanoseconds NextGap(TimePoint aDue)
  {
    const double at = std::chrono::duration<double>(aDue - m_start).count();
    const bool isPeak =
      at > m_plan.m_seconds / 3 && at < m_plan.m_seconds * 2 / 3;
    const double rate = m_plan.m_rate * (isPeak ? m_plan.m_loadSwing : 1);
    std::exponential_distribution<double> gap(rate);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(gap(m_random)));
  }

  void Begin(TimePoint aDue)
  {
    auto request = std::make_unique<Request>();
    request->m_due = aDue;
    std::uniform_real_distribution<double> share(0, 1);
    request->m_long = share(m_random) < m_plan.m_longShare;
    std::uniform_int_distribution<unsigned> key(0, m_plan.m_keys - 1);
    std::uniform_int_distribution<std::size_t> target(
      0, m_plan.m_targets.size() - 1);
    const auto url = Concat("http://",
                            m_plan.m_targets[target(m_random)],
                            m_plan.m_path,
                            request->m_long ? "long/" : "short/",
                            "x");
    auto& easy = request->m_easy;
    if (m_idle.empty()) {
      easy = curl_easy_init();
    } else {
      easy = m_idle.back();
      m_idle.pop_back();
    }
    auto*& headers = request->m_headers;
    headers =
      curl_slist_append(headers, Concat("X-Key: k", key(m_random)).c_str());
    const int work = request->m_long ? m_plan.m_longMs : m_plan.m_shortMs;
    headers =
      curl_slist_append(headers, Concat("X-Service-Ms: ", work).c_str());
    if (m_plan.m_deadlineMs > 0 && !request->m_long) {
      headers = curl_slist_append(
        headers,
        Concat("Sapphirehook-Deadline-Ms: ", m_plan.m_deadlineMs).c_str());
    }
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, Discard);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, request.get());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, request.get());
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 60'000L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_multi_add_handle(m_multi, easy);
    ++m_running;
    static_cast<void>(request.release());
  }

  void CollectFinished()
  {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      Request* raw = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &raw);
      const std::unique_ptr<Request> request(raw);
      Record(*request, message->data.result);
      curl_multi_remove_handle(m_multi, request->m_easy);
      curl_slist_free_all(request->m_headers);
      m_idle.push_back(request->m_easy);
      --m_running;
    }
  }

  void Record(const Request& aRequest, CURLcode aCode)
  {
    long status = 0;
    curl_easy_getinfo(aRequest.m_easy, CURLINFO_RESPONSE_CODE, &status);
    Sample sample;
    sample.m_at =
      std::chrono::duration<double>(aRequest.m_due - m_start).count();
    sample.m_seconds =
      std::chrono::duration<double>(BootClock::now() - aRequest.m_due).count();
    sample.m_long = aRequest.m_long;
    constexpr long kOk = 200;
    constexpr double kPerSecond = 1000;
    const bool inTime = m_plan.m_deadlineMs == 0 || aRequest.m_long ||
                        sample.m_seconds * kPerSecond <= m_plan.m_deadlineMs;
    sample.m_good = aCode == CURLE_OK && status == kOk && inTime;
    if (aCode != CURLE_OK) {
      sample.m_outcome = "transport";
    } else if (status != kOk) {
      sample.m_outcome = aRequest.m_outcome.empty() ? std::to_string(status)
                                                    : aRequest.m_outcome;
    } else {
      sample.m_outcome = inTime ? "ok" : "late";
    }
    m_samples.push_back(std::move(sample));
  }

  [[nodiscard]] Json Percentiles(bool aLong, bool aPeakOnly) const
  {
    std::vector<double> spans;
    std::size_t good = 0;
    std::size_t all = 0;
    for (const auto& sample : m_samples) {
      const bool isPeak = sample.m_at > m_plan.m_seconds / 3 &&
                          sample.m_at < m_plan.m_seconds * 2 / 3;
      if (sample.m_long != aLong || (aPeakOnly && !isPeak)) {
        continue;
      }
      ++all;
      good += sample.m_good ? 1 : 0;
      if (sample.m_outcome == "ok" || sample.m_outcome == "late") {
        spans.push_back(sample.m_seconds);
      }
    }
    std::sort(spans.begin(), spans.end());
    constexpr double kMsPerSecond = 1000;
    const auto at = [&](double aShare) {
      if (spans.empty()) {
        return 0.0;
      }
      const auto index = static_cast<std::size_t>(
        aShare * static_cast<double>(spans.size() - 1));
      return spans[index] * kMsPerSecond;
    };
    return {
      { "requests", all },
      { "in_time_share",
        all == 0 ? 1.0 : static_cast<double>(good) / static_cast<double>(all) },
      { "p50_ms", at(0.5) },
      { "p99_ms", at(0.99) },
      { "p999_ms", at(0.999) }
    };
  }

  [[nodiscard]] Json Summary() const
  {
    std::map<std::string, std::size_t> outcomes;
    for (const auto& sample : m_samples) {
      ++outcomes[sample.m_outcome];
    }
    return { { "requests", m_samples.size() },
             { "outcomes", outcomes },
             { "short", Percentiles(false, false) },
             { "short_at_crest", Percentiles(false, true) },
             { "long", Percentiles(true, false) } };
  }

  Plan m_plan;
  std::mt19937 m_random;
  CURLM* m_multi;
  std::vector<CURL*> m_idle;
  TimePoint m_start{};
  std::size_t m_running = 0;
  std::vector<Sample> m_samples;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("sapphirehook-load",
                           "Sends open-loop load and prints JSON.");
  options.add_options()("target",
                        "address of a callers' port; may be repeated",
                        cxxopts::value<std::vector<std::string>>())(
    "path",
    "path prefix",
    cxxopts::value<std::string>()->default_value("/catalogue/"))(
    "rate",
    "requests per second",
    cxxopts::value<double>()->default_value("100"))(
    "seconds",
    "duration of the run in seconds",
    cxxopts::value<double>()->default_value("5"))(
    "swing",
    "factor of the rate in the middle third",
    cxxopts::value<double>()->default_value("1"))(
    "long-share",
    "share of long requests",
    cxxopts::value<double>()->default_value("0"))(
    "short-ms",
    "processing time of a short request in ms",
    cxxopts::value<int>()->default_value("1"))(
    "long-ms",
    "processing time of a long request in ms",
    cxxopts::value<int>()->default_value("50"))(
    "deadline-ms",
    "deadline of short requests in ms; 0 for none",
    cxxopts::value<int>()->default_value("0"))(
    "keys",
    "number of distinct keys",
    cxxopts::value<unsigned>()->default_value("1000"))(
    "seed", "seed", cxxopts::value<unsigned>()->default_value("1"));
  try {
    const auto given = options.parse(aCount, aArguments);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    Plan plan;
    plan.m_targets = given["target"].as<std::vector<std::string>>();
    plan.m_path = given["path"].as<std::string>();
    plan.m_rate = given["rate"].as<double>();
    plan.m_seconds = given["seconds"].as<double>();
    plan.m_loadSwing = given["swing"].as<double>();
    plan.m_longShare = given["long-share"].as<double>();
    plan.m_shortMs = given["short-ms"].as<int>();
    plan.m_longMs = given["long-ms"].as<int>();
    plan.m_deadlineMs = given["deadline-ms"].as<int>();
    plan.m_keys = given["keys"].as<unsigned>();
    plan.m_seed = given["seed"].as<unsigned>();
    std::cout << Load(plan).Run().dump(2) << "\n";
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n" << options.help() << "\n";
    return 2;
  }
  return 0;
}
