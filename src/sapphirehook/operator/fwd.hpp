#ifndef SAPPHIREHOOK_OPERATOR_FWD_HPP
#define SAPPHIREHOOK_OPERATOR_FWD_HPP

/** Tickets, the operators' port, metrics, the timeline, and the analysis of
    gateway logs. */
namespace sapphirehook {

struct KeySource;
struct KeyRule;
struct RequestRule;
struct ServiceConfig;
struct EndpointConfig;
struct Ticket;
struct TimelineEvent;
struct LogEntry;
class LogMerge;
class RequestTrace;
class Timeline;
class Metrics;
class OperatorServer;

} // namespace sapphirehook

#endif
