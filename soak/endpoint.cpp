#include "soak/endpoint.hpp"

#include "sapphirehook/core/hash.hpp"
#include "soak/store.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace sapphirehook::soak {

namespace {

constexpr const char* kFaultPath = "/soak/fault";
constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kBadRequest = 400;
constexpr int kMisdirected = 421;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;
constexpr std::size_t kSlots = 6;
constexpr std::size_t kMaxQueued = 24;
/** Interval at which the endpoint writes its entry to the store. An entry
    expires after three intervals. */
constexpr Millis kHeartbeatInterval{ 400 };
/** A draining endpoint serves requests for this time, plus a random extra time
    up to the second constant. */
constexpr Millis kDrain{ 2000 };
constexpr int kExtraDrainMs = 1500;
/** Mean duration of work, and the share of requests that last longer by the
    factor. */
constexpr int kMeanWorkMs = 40;
constexpr double kLongShare = 0.03; // of all requests
constexpr int kLongWorkFactor = 7;
/** Interval of the ticks that detect a pause of the process, and the gap
    between two ticks that counts as a pause. */
constexpr Millis kArrivalTickInterval{ 20 };
constexpr Millis kPauseThreshold{ 100 };
/** Late grants are applied after this delay, plus a random extra delay up to
    the second constant. */
constexpr Millis kMinLateDelay{ 1000 };
constexpr int kExtraLateDelayMs = 4000;

} // namespace

std::string
BodyOf(const std::string& aId, std::string_view aRequestBody)
{
  constexpr std::size_t kLargest = 9000; // bytes
  const auto hash = StableHash(aId, StableHash(aRequestBody));
  std::string body(hash % kLargest, 'x');
  return aId + " " + std::to_string(hash) + " " + body;
}

std::string
SignatureOf(const std::string& aId)
{
  return std::to_string(StableHash(aId, 1));
}

HttpCall
EndpointFaultCall(const EndpointFault& aFault)
{
  const nlohmann::json body{ { "fail", aFault.m_failShare },
                             { "cut", aFault.m_truncateShare },
                             { "mute", aFault.m_noAnswerShare },
                             { "late", aFault.m_lateShare },
                             { "slowness", aFault.m_slowness } };
  return { "POST", kFaultPath, "application/json", body.dump() };
}

StandinEndpoint::StandinEndpoint(EventLoop& aLoop,
                                 const GatewayProtocol& aProtocol,
                                 EndpointOptions aOptions)
  : m_loop(aLoop)
  , m_protocol(aProtocol)
  , m_options(std::move(aOptions))
  , m_historyFile(m_options.m_historyFile)
  , m_server(aLoop,
             [this](const HttpExchangePtr& aExchange) { OnCall(aExchange); })
  , m_store(aLoop, m_options.m_store)
  , m_announceTimer(aLoop, [this] { Announce(); })
  , m_tickTimer(aLoop, [this] { m_arrivals.OnTick(BootClock::now()); })
  , m_arrivals(BootClock::now(), kPauseThreshold)
  , m_delayed(aLoop)
  , m_random(m_options.m_seed)
{
  m_record.m_incarnation.m_name = m_options.m_name;
  m_record.m_incarnation.m_startedAt =
    std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch())
      .count();
  m_record.m_service = m_options.m_service;
  m_record.m_address = m_options.m_advertised;
  m_record.m_zone = m_options.m_zone;
  m_record.m_slots = kSlots;
}

bool
StandinEndpoint::Listen()
{
  if (!m_server.Listen(m_options.m_listen)) {
    return false;
  }
  m_announceTimer.StartEvery(kHeartbeatInterval);
  m_tickTimer.StartEvery(kArrivalTickInterval);
  Announce();
  return true;
}

double
StandinEndpoint::Draw()
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
}

/** Writes the endpoint's entry to the store. The sequence number of the entry
    stays 0: the stand-in store appends no record for an entry that changes
    nothing. */
void
StandinEndpoint::Announce()
{
  if (m_store.IsBusy() || m_ended) {
    return;
  }
  const bool leaving = m_record.m_draining;
  m_store.Call(PutCall(m_protocol.m_endpointTopic,
                       m_options.m_name,
                       platform::WriteServerEntry(m_record, 0),
                       3 * kHeartbeatInterval),
               kHeartbeatInterval,
               [this, leaving](const CallResult& aResult) {
                 const bool accepted = aResult.m_end == CallEnd::Answered &&
                                       aResult.m_answer.m_head.m_status == kOk;
                 if (leaving && accepted && !m_drainAccepted) {
                   m_drainAccepted = true;
                   m_historyFile.Write(
                     { HistoryEventKind::DrainAccepted, BootClock::now() });
                   const Millis more(m_random() % kExtraDrainMs);
                   m_delayed.After(kDrain + more, [this] {
                     // Accepted requests still run after listening stops.
                     m_server.StopListening();
                     EndWhenIdle();
                   });
                 }
               });
}

void
StandinEndpoint::StartDraining()
{
  m_record.m_draining = true;
  Announce();
}

void
StandinEndpoint::EndWhenIdle()
{
  if (!m_running.empty() || !m_queue.empty()) {
    m_delayed.After(kHeartbeatInterval, [this] { EndWhenIdle(); });
    return;
  }
  m_ended = true;
  m_store.Abort();
  m_store.Call(PutCall(m_protocol.m_endpointTopic, m_options.m_name, "", {}),
               kHeartbeatInterval,
               [this](const CallResult&) { m_loop.Stop(); });
}

void
StandinEndpoint::OnCall(const HttpExchangePtr& aExchange)
{
  if (aExchange->m_head.m_target == kFaultPath) {
    OnFault(aExchange);
  } else if (platform::IsGrant(aExchange->m_head)) {
    OnGrant(aExchange);
  } else if (platform::IsRelease(aExchange->m_head)) {
    OnRelease(aExchange);
  } else if (const auto identity = platform::IdentityReply(
               aExchange->m_head, kHealthPath, m_options.m_name)) {
    aExchange->Answer(*identity);
  } else {
    OnRequest(aExchange);
  }
}

void
StandinEndpoint::OnFault(const HttpExchangePtr& aExchange)
{
  const auto body = nlohmann::json::parse(aExchange->m_body);
  m_fault = { body.at("fail").get<double>(),
              body.at("cut").get<double>(),
              body.at("mute").get<double>(),
              body.at("late").get<double>(),
              body.at("slowness").get<double>() };
  aExchange->Answer({ kOk });
}

void
StandinEndpoint::OnGrant(const HttpExchangePtr& aExchange)
{
  const auto command = platform::ReadGrant(aExchange->m_body);
  if (!command.ok()) {
    aExchange->Answer({ kBadRequest });
    return;
  }
  const TimePoint until =
    m_arrivals.EarliestArrival(BootClock::now()) +
    WithDrift(command->m_leaseDuration, m_options.m_driftPpm);
  if (Draw() < m_fault.m_lateShare) {
    m_unanswered.push_back(aExchange);
    const Millis more(m_random() % kExtraLateDelayMs);
    m_delayed.After(kMinLateDelay + more, [this, command = *command, until] {
      static_cast<void>(ApplyGrant(command, until));
    });
    return;
  }
  const bool isAccepted = ApplyGrant(*command, until);
  HttpReply reply{ isAccepted ? kOk : kConflict };
  reply.m_closesConnection = m_record.m_draining;
  aExchange->Answer(reply);
}

bool
StandinEndpoint::ApplyGrant(const GrantCommand& aCommand, TimePoint aUntil)
{
  if (!m_leases.Grant(aCommand, aUntil)) {
    return false;
  }
  m_historyFile.Write({ HistoryEventKind::GrantAccepted,
                        BootClock::now(),
                        "-",
                        aCommand.m_range,
                        aCommand.m_fence,
                        aUntil });
  return true;
}

void
StandinEndpoint::OnRelease(const HttpExchangePtr& aExchange)
{
  const auto command = platform::ReadRelease(aExchange->m_body);
  if (!command.ok()) {
    aExchange->Answer({ kBadRequest });
    return;
  }
  m_leases.Release(command->m_range);
  m_historyFile.Write({ HistoryEventKind::Released,
                        BootClock::now(),
                        "-",
                        command->m_range,
                        command->m_fence });
  m_releases.push_back({ aExchange, command->m_range });
  AnswerReleases();
}

/** Answers the releases of ranges on which no request is running any more. */
void
StandinEndpoint::AnswerReleases()
{
  std::list<PendingRelease> done;
  for (auto at = m_releases.begin(); at != m_releases.end();) {
    const auto here = at++;
    const bool busy =
      std::any_of(m_running.begin(), m_running.end(), [&](const auto& aJob) {
        return aJob->m_key && here->m_range.Contains(*aJob->m_key);
      });
    if (!busy) {
      done.splice(done.end(), m_releases, here);
    }
  }
  for (const auto& release : done) {
    release.m_exchange->Answer(platform::HandoverReply(m_options.m_name));
  }
}

void
StandinEndpoint::RefuseNotRun(const HttpExchangePtr& aExchange, int aStatus)
{
  HttpReply reply{ aStatus };
  const auto* id =
    FindHeader(aExchange->m_head.m_headers, m_protocol.m_attemptHeader);
  reply.m_headers = { { m_protocol.m_notRunHeader, "1" },
                      { m_protocol.m_attemptHeader, id ? *id : "" } };
  reply.m_closesConnection = m_record.m_draining;
  aExchange->Answer(reply);
}

void
StandinEndpoint::OnRequest(const HttpExchangePtr& aExchange)
{
  const auto& headers = aExchange->m_head.m_headers;
  const auto* id = FindHeader(headers, m_protocol.m_attemptHeader);
  if (id == nullptr) {
    RefuseNotRun(aExchange, kBadRequest);
    return;
  }
  if (m_queue.size() >= kMaxQueued) {
    RefuseNotRun(aExchange, kUnavailable);
    return;
  }
  auto job = std::make_shared<Job>();
  job->m_exchange = aExchange;
  job->m_id = *id;
  if (m_options.m_keyed) {
    const auto* key = FindHeader(headers, m_protocol.m_keyHeader);
    job->m_key =
      static_cast<Key>(ParseWholeNumber(key ? *key : "").value_or(0));
  }
  const auto* left = FindHeader(headers, m_protocol.m_deadlineHeader);
  constexpr std::uint64_t kNoDeadline = 60'000; // milliseconds
  job->m_deadline =
    BootClock::now() +
    Millis(static_cast<Millis::rep>(
      ParseWholeNumber(left ? *left : "").value_or(kNoDeadline)));
  const std::weak_ptr<Job> weak = job;
  aExchange->m_onConnectionEnd = [weak] {
    if (const auto waiting = weak.lock()) {
      waiting->m_disconnected = true;
    }
  };
  m_queue.push_back(std::move(job));
  StartNext();
}

void
StandinEndpoint::StartNext()
{
  while (!m_queue.empty() && m_running.size() < kSlots) {
    const auto job = m_queue.front();
    m_queue.pop_front();
    const TimePoint now = BootClock::now();
    if (job->m_disconnected) {
      continue;
    }
    if (now >= job->m_deadline) {
      RefuseNotRun(job->m_exchange, kUnavailable);
    } else if (job->m_key && !m_leases.HeldFence(now, *job->m_key)) {
      RefuseNotRun(job->m_exchange, kMisdirected);
    } else {
      Run(job);
    }
  }
}

Millis
StandinEndpoint::WorkDuration(const Job& aJob)
{
  const auto hash = StableHash(aJob.m_id, 2);
  constexpr std::uint64_t kParts = 1000;
  const auto part = static_cast<double>(hash % kParts) / kParts;
  const int times = part < kLongShare ? kLongWorkFactor : 1;
  const double mean = kMeanWorkMs * (0.5 + part);
  return Millis(static_cast<Millis::rep>(mean * times * m_fault.m_slowness));
}

void
StandinEndpoint::Run(const JobPtr& aJob)
{
  const TimePoint now = BootClock::now();
  const auto fence =
    aJob->m_key ? m_leases.HeldFence(now, *aJob->m_key) : std::nullopt;
  const Key key = aJob->m_key.value_or(0);
  m_historyFile.Write({ HistoryEventKind::RequestStarted,
                        now,
                        aJob->m_id,
                        { key, key },
                        fence.value_or(0) });
  m_running.push_back(aJob);
  m_delayed.After(WorkDuration(*aJob), [this, aJob] { OnWorkDone(aJob); });
}

void
StandinEndpoint::OnWorkDone(const JobPtr& aJob)
{
  m_running.remove(aJob);
  AnswerJob(*aJob);
  AnswerReleases();
  StartNext();
}

void
StandinEndpoint::AnswerJob(const Job& aJob)
{
  const bool failed = Draw() < m_fault.m_failShare;
  const int status = failed ? kServerError : kOk;
  HistoryEvent event{ HistoryEventKind::RequestEnded,
                      BootClock::now(),
                      aJob.m_id };
  event.m_status = status;
  m_historyFile.Write(event);
  if (Draw() < m_fault.m_noAnswerShare) {
    m_unanswered.push_back(aJob.m_exchange);
    return;
  }
  HttpReply reply{ status };
  reply.m_headers = { { m_protocol.m_attemptHeader, aJob.m_id },
                      { m_protocol.m_loadHeader,
                        std::to_string(m_running.size()) + "," +
                          std::to_string(m_queue.size()) + "," +
                          std::to_string(kSlots) } };
  if (!failed) {
    reply.m_headers.push_back(
      { std::string(platform::SignatureHeader()), SignatureOf(aJob.m_id) });
    reply.m_body = BodyOf(aJob.m_id, aJob.m_exchange->m_body);
  }
  reply.m_closesConnection = m_record.m_draining;
  if (Draw() < m_fault.m_truncateShare) {
    const auto bytes = SerializeReply(reply);
    aJob.m_exchange->AnswerRaw(
      std::string_view(bytes).substr(0, m_random() % bytes.size()));
    aJob.m_exchange->Reset();
    return;
  }
  aJob.m_exchange->Answer(reply);
}

} // namespace sapphirehook::soak
