#include "soak/store.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace sapphirehook::soak {

namespace {

using platform::StoreCall;
using platform::StoreCallKind;

constexpr const char* kPutPath = "/soak/put";
constexpr const char* kFaultPath = "/soak/fault";
constexpr const char* kCompactPath = "/soak/compact";
constexpr const char* kRestorePath = "/soak/restore";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
/** Interval at which waiting reads and expiry times are checked. */
constexpr Millis kTickInterval{ 20 };
/** Duration of an append. */
constexpr Millis kAppendTime{ 4 };
/** Late appends are applied after this delay, plus a random extra delay up to
    the second constant. */
constexpr Millis kMinLateDelay{ 1000 };
constexpr int kExtraLateDelayMs = 2000;
constexpr std::size_t kPageItems = 500;
/** Oldest state that can be restored. */
constexpr Millis kMaxRestoreAge{ 10'000 };
/** The operator writes a lost record again within this time after a restore, at
    the earliest after kMinRewriteDelay. */
constexpr Millis kMinRewriteDelay{ 100 };
constexpr int kExtraRewriteDelayMs = 900;

} // namespace

HttpCall
PutCall(const std::string& aTopic,
        const std::string& aKey,
        const std::string& aValue,
        Millis aTimeToLive)
{
  const nlohmann::json body{ { "topic", aTopic },
                             { "key", aKey },
                             { "value", aValue },
                             { "lapses_after_ms", aTimeToLive.count() } };
  return { "POST", kPutPath, "application/json", body.dump() };
}

HttpCall
StoreFaultCall(const StoreFault& aFault)
{
  const nlohmann::json body{ { "mode", static_cast<int>(aFault.m_mode) },
                             { "delay_ms", aFault.m_delay.count() },
                             { "lose", aFault.m_lostAnswerShare },
                             { "late", aFault.m_lateShare } };
  return { "POST", kFaultPath, "application/json", body.dump() };
}

HttpCall
RestoreCall(Millis aAge, Millis aAway)
{
  const nlohmann::json body{ { "age_ms", aAge.count() },
                             { "away_ms", aAway.count() } };
  return { "POST", kRestorePath, "application/json", body.dump() };
}

HttpCall
CompactCall()
{
  return { "POST", kCompactPath, "application/json", "{}" };
}

StandinStore::StandinStore(EventLoop& aLoop, unsigned aSeed)
  : m_server(aLoop,
             [this](const HttpExchangePtr& aExchange) { OnCall(aExchange); })
  , m_timer(aLoop, [this] { Tick(); })
  , m_random(aSeed)
  , m_delayed(aLoop)
{
  m_timer.StartEvery(kTickInterval);
}

bool
StandinStore::Listen(const sockaddr_in& aAddress)
{
  return m_server.Listen(aAddress);
}

double
StandinStore::Draw()
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
}

void
StandinStore::OnCall(const HttpExchangePtr& aExchange)
{
  const auto& target = aExchange->m_head.m_target;
  if (target == kFaultPath) {
    OnFault(aExchange);
  } else if (target == kCompactPath) {
    OnCompact(aExchange);
  } else if (target == kRestorePath) {
    OnRestore(aExchange);
  } else if (target == kPutPath) {
    OnPut(aExchange);
  } else {
    OnStoreCall(aExchange);
  }
}

void
StandinStore::OnFault(const HttpExchangePtr& aExchange)
{
  const auto body = nlohmann::json::parse(aExchange->m_body);
  m_fault.m_mode = static_cast<StoreFault::Mode>(body.at("mode").get<int>());
  m_fault.m_delay = Millis(body.at("delay_ms").get<Millis::rep>());
  m_fault.m_lostAnswerShare = body.at("lose").get<double>();
  m_fault.m_lateShare = body.at("late").get<double>();
  if (m_fault.m_mode != StoreFault::Mode::Normal) {
    // The fault also resets waiting reads or leaves them unanswered.
    for (const auto& reader : std::exchange(m_readers, {})) {
      if (m_fault.m_mode == StoreFault::Mode::Reset) {
        reader->m_exchange->Reset();
      } else {
        m_unanswered.push_back(reader->m_exchange);
      }
    }
  }
  aExchange->Answer({ kOk });
}

void
StandinStore::OnCompact(const HttpExchangePtr& aExchange)
{
  for (auto& [name, topic] : m_topics) {
    topic.m_records.clear();
    topic.m_first = topic.m_end;
  }
  aExchange->Answer({ kOk });
}

void
StandinStore::OnRestore(const HttpExchangePtr& aExchange)
{
  const auto body = nlohmann::json::parse(aExchange->m_body);
  const Millis age(body.at("age_ms").get<Millis::rep>());
  const Millis away(body.at("away_ms").get<Millis::rep>());
  m_fault = {};
  m_fault.m_mode = StoreFault::Mode::Reset;
  for (const auto& reader : std::exchange(m_readers, {})) {
    reader->m_exchange->Reset();
  }
  m_delayed.After(away, [this, age] {
    if (m_fault.m_mode == StoreFault::Mode::Reset) {
      m_fault = {};
    }
    Restore(age);
  });
  aExchange->Answer({ kOk });
}

/** Removes the records of the last aAge and begins the next era. */
void
StandinStore::Restore(Millis aAge)
{
  ++m_era;
  auto lost = UndoSince(BootClock::now() - aAge);
  std::shuffle(lost.begin(), lost.end(), m_random);
  std::set<std::pair<std::string, std::string>> written;
  for (const auto& record : lost) {
    if (record.m_isOfOperator &&
        written.emplace(record.m_topic, record.m_key).second) {
      WriteAgain(record,
                 kMinRewriteDelay + Millis(m_random() % kExtraRewriteDelayMs));
    }
  }
}

/** Undoes the appends since a time. Returns the newest lost record of each
    key. */
std::vector<StandinStore::Appended>
StandinStore::UndoSince(TimePoint aTime)
{
  const TimePoint now = BootClock::now();
  std::map<std::pair<std::string, std::string>, Appended> lost;
  while (!m_appended.empty() && m_appended.back().m_at > aTime) {
    auto last = std::move(m_appended.back());
    m_appended.pop_back();
    auto& topic = m_topics[last.m_topic];
    topic.m_records.erase(last.m_offset);
    topic.m_end = last.m_offset;
    topic.m_first = std::min(topic.m_first, topic.m_end);
    const std::pair entry(last.m_topic, last.m_key);
    m_expiries.erase(entry);
    if (last.m_replaced) {
      topic.m_newest[last.m_key] = *last.m_replaced;
      if (const auto known = m_timesToLive.find(entry);
          known != m_timesToLive.end()) {
        m_expiries[entry] = now + known->second;
      }
    } else {
      topic.m_newest.erase(last.m_key);
    }
    lost.emplace(entry, std::move(last));
  }
  std::vector<Appended> records;
  records.reserve(lost.size());
  for (auto& [entry, record] : lost) {
    records.push_back(std::move(record));
  }
  return records;
}

/** Writes a lost record again unless its writer has written the key since, or
    it is already back. A further restore in the meantime changes nothing. */
void
StandinStore::WriteAgain(const Appended& aRecord, Millis aDelay)
{
  const std::pair entry(aRecord.m_topic, aRecord.m_key);
  m_delayed.After(aDelay, [this, aRecord, entry, puts = m_puts[entry]] {
    const auto& newest = m_topics[aRecord.m_topic].m_newest;
    const auto known = newest.find(aRecord.m_key);
    const bool isBack = known == newest.end()
                          ? !aRecord.m_value
                          : known->second.m_value == aRecord.m_value;
    if (puts != m_puts[entry] || isBack) {
      return;
    }
    StoreCall call;
    call.m_kind = StoreCallKind::Append;
    call.m_topic = aRecord.m_topic;
    call.m_records.push_back({ 0, aRecord.m_key, aRecord.m_value });
    m_operatorWrites = true;
    static_cast<void>(Append(call));
    m_operatorWrites = false;
  });
}

/** Keeps what is needed to undo an append, for as long as it can be undone. */
void
StandinStore::RecordAppend(const StoreCall& aCall, const KeyedRecord& aRecord)
{
  const TimePoint now = BootClock::now();
  const auto& newest = m_topics[aCall.m_topic].m_newest;
  const auto known = newest.find(aRecord.m_key);
  m_appended.push_back(
    { now,
      aCall.m_topic,
      aRecord.m_offset,
      aRecord.m_key,
      aRecord.m_value,
      known == newest.end() ? std::nullopt : std::optional(known->second),
      m_operatorWrites });
  while (m_appended.front().m_at < now - kMaxRestoreAge) {
    m_appended.pop_front();
  }
}

/** Handles writes of servers and of the operator. The store rejects them while
    a fault mode is set. A write of an unchanged value renews the expiry and
    appends no record. */
void
StandinStore::OnPut(const HttpExchangePtr& aExchange)
{
  if (m_fault.m_mode != StoreFault::Mode::Normal) {
    aExchange->Answer({ kUnavailable });
    return;
  }
  const auto body = nlohmann::json::parse(aExchange->m_body);
  const auto topic = body.at("topic").get<std::string>();
  const auto key = body.at("key").get<std::string>();
  const auto value = body.at("value").get<std::string>();
  const auto timeToLive = Millis(body.at("lapses_after_ms").get<Millis::rep>());
  if (timeToLive > Millis(0)) {
    m_expiries[{ topic, key }] = BootClock::now() + timeToLive;
    m_timesToLive[{ topic, key }] = timeToLive;
  } else {
    m_expiries.erase({ topic, key });
  }
  const auto& newest = m_topics[topic].m_newest;
  const auto known = newest.find(key);
  const bool same = known != newest.end() && known->second.m_value == value;
  if (!same) {
    StoreCall call;
    call.m_kind = StoreCallKind::Append;
    call.m_topic = topic;
    call.m_records.push_back(
      { 0, key, value.empty() ? std::nullopt : std::optional(value) });
    ++m_puts[{ topic, key }];
    m_operatorWrites =
      timeToLive <= Millis(0) && !m_timesToLive.contains({ topic, key });
    static_cast<void>(Append(call));
    m_operatorWrites = false;
  }
  aExchange->Answer({ kOk });
}

void
StandinStore::OnStoreCall(const HttpExchangePtr& aExchange)
{
  const auto call =
    platform::ReadStoreCall(aExchange->m_head, aExchange->m_body);
  if (!call.ok()) {
    aExchange->Answer(
      { kBadRequest, "text/plain", std::string(call.status().message()) });
    return;
  }
  switch (m_fault.m_mode) {
    case StoreFault::Mode::Busy:
      Reject(aExchange);
      return;
    case StoreFault::Mode::Unresponsive:
      m_unanswered.push_back(aExchange);
      return;
    case StoreFault::Mode::Reset:
      aExchange->Reset();
      return;
    case StoreFault::Mode::Normal:
      break;
  }
  Serve(aExchange, *call);
}

void
StandinStore::Serve(const HttpExchangePtr& aExchange, const StoreCall& aCall)
{
  switch (aCall.m_kind) {
    case StoreCallKind::Append:
      ServeAppend(aExchange, aCall);
      return;
    case StoreCallKind::Newest:
      ServeNewest(aExchange, aCall);
      return;
    case StoreCallKind::Read:
      if (!ServeRead(aExchange, aCall, aCall.m_wait > Millis(0))) {
        auto reader = std::make_shared<Reader>(
          Reader{ aExchange, aCall, BootClock::now() + aCall.m_wait, false });
        aExchange->m_onConnectionEnd = [reader] {
          reader->m_disconnected = true;
        };
        m_readers.push_back(std::move(reader));
      }
  }
}

void
StandinStore::Reply(const HttpExchangePtr& aExchange, HttpReply aReply)
{
  platform::AddStoreEra(aReply, m_era);
  m_delayed.After(
    kAppendTime + m_fault.m_delay,
    [aExchange, reply = std::move(aReply)] { aExchange->Answer(reply); });
}

void
StandinStore::Reject(const HttpExchangePtr& aExchange)
{
  HttpReply reply{ kUnavailable };
  platform::AddStoreEra(reply, m_era);
  aExchange->Answer(reply);
}

HttpReply
StandinStore::Append(const StoreCall& aCall)
{
  auto& topic = m_topics[aCall.m_topic];
  if (aCall.m_at && *aCall.m_at != topic.m_end) {
    return platform::ConflictReply(topic.m_end);
  }
  const Offset first = topic.m_end;
  for (auto record : aCall.m_records) {
    record.m_offset = topic.m_end++;
    RecordAppend(aCall, record);
    topic.m_records[record.m_offset] = record;
    if (record.m_value) {
      topic.m_newest[record.m_key] = record;
    } else {
      topic.m_newest.erase(record.m_key);
    }
  }
  WakeReaders(aCall.m_topic);
  return platform::AppendReply(first, topic.m_end);
}

void
StandinStore::ServeAppend(const HttpExchangePtr& aExchange,
                          const StoreCall& aCall)
{
  if (Draw() < m_fault.m_lateShare) {
    m_unanswered.push_back(aExchange);
    const Millis more(m_random() % kExtraLateDelayMs);
    m_delayed.After(kMinLateDelay + more, [this, aCall, era = m_era] {
      // A restored store knows no calls of before.
      if (era == m_era) {
        static_cast<void>(Append(aCall));
      }
    });
    return;
  }
  const auto reply = Append(aCall);
  if (Draw() < m_fault.m_lostAnswerShare) {
    m_unanswered.push_back(aExchange);
  } else {
    Reply(aExchange, reply);
  }
}

void
StandinStore::ServeNewest(const HttpExchangePtr& aExchange,
                          const StoreCall& aCall)
{
  const auto& topic = m_topics[aCall.m_topic];
  std::vector<KeyedRecord> items;
  auto at = topic.m_newest.upper_bound(aCall.m_after);
  for (; at != topic.m_newest.end() && items.size() < kPageItems; ++at) {
    items.push_back(at->second);
  }
  Reply(aExchange,
        platform::NewestReply(topic.m_end, at != topic.m_newest.end(), items));
}

/** Answers a read unless it waits and there are no records for it. Returns
    whether the read was answered. */
bool
StandinStore::ServeRead(const HttpExchangePtr& aExchange,
                        const StoreCall& aCall,
                        bool aWaits)
{
  const auto& topic = m_topics[aCall.m_topic];
  if (aCall.m_from < topic.m_first || aCall.m_from > topic.m_end) {
    Reply(aExchange, platform::ForgottenReply(topic.m_first));
    return true;
  }
  std::vector<KeyedRecord> records;
  for (auto at = topic.m_records.lower_bound(aCall.m_from);
       at != topic.m_records.end();
       ++at) {
    records.push_back(at->second);
  }
  if (records.empty() && aWaits) {
    return false;
  }
  Reply(aExchange, platform::ReadReply(topic.m_end, topic.m_first, records));
  return true;
}

void
StandinStore::WakeReaders(const std::string& aTopic)
{
  std::erase_if(m_readers, [&](const auto& aReader) {
    return aReader->m_call.m_topic == aTopic &&
           ServeRead(aReader->m_exchange, aReader->m_call, true);
  });
}

void
StandinStore::Tick()
{
  const TimePoint now = BootClock::now();
  std::erase_if(m_readers, [&](const auto& aReader) {
    return aReader->m_disconnected ||
           (now >= aReader->m_until &&
            ServeRead(aReader->m_exchange, aReader->m_call, false));
  });
  std::vector<std::pair<std::string, std::string>> expired;
  for (const auto& [entry, when] : m_expiries) {
    if (now >= when) {
      expired.push_back(entry);
    }
  }
  for (const auto& entry : expired) {
    m_expiries.erase(entry);
    StoreCall call;
    call.m_topic = entry.first;
    call.m_records.push_back({ 0, entry.second, std::nullopt });
    static_cast<void>(Append(call));
  }
}

} // namespace sapphirehook::soak
