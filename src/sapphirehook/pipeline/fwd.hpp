#ifndef SAPPHIREHOOK_PIPELINE_FWD_HPP
#define SAPPHIREHOOK_PIPELINE_FWD_HPP

/** Pipelined requests of a caller's connection: several requests in progress at
    once, answered in the order in which they were sent. */
namespace sapphirehook {

struct PipelineLimits;
class HeldBytes;

} // namespace sapphirehook

#endif
