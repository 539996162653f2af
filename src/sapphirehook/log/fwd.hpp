#ifndef SAPPHIREHOOK_LOG_FWD_HPP
#define SAPPHIREHOOK_LOG_FWD_HPP

/** Clients of the platform's log service and of its list of hosts. */
namespace sapphirehook {

struct LogRecord;
struct LogBatch;
struct LogEvent;
class StreamReader;
class RecordAppender;
class HostListReader;

} // namespace sapphirehook

#endif
