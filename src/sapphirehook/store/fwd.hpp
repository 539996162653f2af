#ifndef SAPPHIREHOOK_STORE_FWD_HPP
#define SAPPHIREHOOK_STORE_FWD_HPP

/** Topics of a shared store that keeps the newest record of each key. */
namespace sapphirehook {

struct KeyedRecord;
struct KeyedPage;
struct AppendOutcome;
struct EndProof;
class ReadDuty;
class TopicReader;
class TopicImage;
class OutageWatch;
class TopicWriter;

} // namespace sapphirehook

#endif
