#ifndef SAPPHIREHOOK_DISPATCH_FWD_HPP
#define SAPPHIREHOOK_DISPATCH_FWD_HPP

/** Request forwarding: exchanges, endpoint queues, retry budgets and detection
    of repeated requests. */
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
