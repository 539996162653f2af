#ifndef SAPPHIREHOOK_LOG_FWD_HPP
#define SAPPHIREHOOK_LOG_FWD_HPP

/** The platform's log service and list of hosts. */
namespace sapphirehook {

struct LogRecord;
struct LogBatch;
struct LogEvent;
class StreamReader;
class RecordAppender;
class HostListReader;

} // namespace sapphirehook

#endif
