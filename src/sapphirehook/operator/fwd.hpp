#ifndef SAPPHIREHOOK_OPERATOR_FWD_HPP
#define SAPPHIREHOOK_OPERATOR_FWD_HPP

/** Tickets, the operators' port, metrics and the time line. */
namespace sapphirehook {

struct KeySource;
struct KeyRule;
struct RequestRule;
struct ServiceConfig;
struct EndpointConfig;
struct Ticket;
struct TimelineEvent;
class Timeline;
class Metrics;
class OperatorServer;

} // namespace sapphirehook

#endif
