#pragma once

#include "lacewingmux_http/front/OperatorEndpoints.h"
#include "lacewingmux_http/server/CallerServer.h"
#include "lacewingmux_program/requests/OwnerRequest.h"

namespace lacewingmux {

class ControlServices;
class HistogramMetrics;
class ThreadQueue;
class TimerService;
class TrafficServices;
struct DaemonSettings;
template <typename Services>
class ServiceThread;

/** What the operators' port reaches; all of it outlives the OperatorServices. */
struct OperatorEnvironment
{
    ControlServices &control;
    ServiceThread<TrafficServices> &traffic;
    ThreadQueue &controlQueue;
    HistogramMetrics &metrics;
    TimerService &timers;
};

/**
    The operators' port, on the control thread: GET /v1/operator/status and /v1/operator/burn, GET
    /v1/operator/programs/{id} and POST /v1/operator/programs/{id}/end, whoever owns the program.
    Throws LacewingmuxError when the port can't be listened on or the token file can't be read.
*/
class OperatorServices
{
public:
    OperatorServices(const DaemonSettings &settings,
                     const OperatorEnvironment &operatorEnvironment);
    OperatorServices(const OperatorServices &) = delete;
    OperatorServices &operator=(const OperatorServices &) = delete;

private:
    void replyWithStatus(const OperatorReply &reply);
    void replyWithBurn(const OperatorReply &reply);
    void askOwner(OwnerOperation operation, const OperatorRequest &request,
                  const OperatorReply &reply);

    OperatorEnvironment environment;
    OperatorEndpoints endpoints;
    CallerServer server;
};

} // namespace lacewingmux
