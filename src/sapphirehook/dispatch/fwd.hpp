#ifndef SAPPHIREHOOK_DISPATCH_FWD_HPP
#define SAPPHIREHOOK_DISPATCH_FWD_HPP

/** Requests on their way, endpoint queues, retries and repeats. */
namespace sapphirehook {

struct RequestHead;
struct ResponseHead;
struct QueueConfig;
struct QueuedRequest;
class Exchange;
class EndpointQueue;
class RetryBudget;
class RepeatWindow;

} // namespace sapphirehook

#endif
