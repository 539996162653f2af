#ifndef SAPPHIREHOOK_ADMISSION_FWD_HPP
#define SAPPHIREHOOK_ADMISSION_FWD_HPP

/** Decides whether a request is sent, queued or refused, and which queued
    request is next. This code uses no clock, socket or thread. */
namespace sapphirehook {

struct KindUse;
struct KindDemand;
struct WaitTerms;
class FleetDemand;
class AdmissionControl;

} // namespace sapphirehook

#endif
