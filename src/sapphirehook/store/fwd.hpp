#ifndef SAPPHIREHOOK_STORE_FWD_HPP
#define SAPPHIREHOOK_STORE_FWD_HPP

/** Readers of topics in a shared store that keeps the newest record of each
    key. */
namespace sapphirehook {

struct KeyedRecord;
struct StorePosition;
struct KeyedPage;
struct AppendOutcome;
struct EndConfirmation;
class ReadSchedule;
class TopicReader;
class CompactedTopic;
class OutageWatch;
class TopicWriter;

} // namespace sapphirehook

#endif
