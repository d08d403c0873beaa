#pragma once

#include "lacewingmux_backend/clients/BackendCall.h"
#include "lacewingmux_backend/clients/BackendRun.h"
#include "lacewingmux_backend/clients/CompletionAssembler.h"
#include "lacewingmux_backend/clients/EventStreamReader.h"
#include "lacewingmux_backend/clients/StreamSequence.h"

#include <memory>

namespace lacewingmux {

class ConnectionPool;
class TimerService;

/**
    A chat completion that runs on an engine.

    A stream is passed on in complete events, each exactly once. When its connection breaks, the
    stream is resumed from the first missing event; the completion is not run again. A stream is
    complete only when its end event has been received. The response to a stream has the body of
    the equivalent unstreamed completion.
*/
class EngineRun final : public BackendRun
{
public:
    EngineRun(ConnectionPool &connectionPool, TimerService &timerService, BackendCall engineCall,
              BackendRunListener runListener);
    ~EngineRun() override;
    EngineRun(const EngineRun &) = delete;
    EngineRun &operator=(const EngineRun &) = delete;

private:
    /** What belongs to one answer of the engine and not to the stream. */
    struct StreamAttempt
    {
        EventStreamReader reader;
        bool isUnusable = false; ///< an event does not belong to the stream
    };

    void startExchange(const BackendCall &call);
    void resumeStream();
    void readStream(const QByteArray &bytes);
    [[nodiscard]] bool acceptEvent(const StreamEvent &event);
    void exchangeFinished(const BackendResponse &response);
    [[nodiscard]] bool canResumeStream(const BackendResponse &response) const;
    void finish(BackendResponse response);

    ConnectionPool &connections;
    TimerService &timers;
    BackendCall call;
    BackendRunListener listener;
    std::chrono::steady_clock::time_point deadline;
    std::unique_ptr<BackendRun> exchange;
    StreamAttempt attempt;
    StreamSequence sequence;
    CompletionAssembler assembler;
    int resumeCount = 0;
    bool endReceived = false; ///< the end event was received
    BackendResponse usage;    ///< only the token counts are used
};

} // namespace lacewingmux
