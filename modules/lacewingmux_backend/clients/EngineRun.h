#pragma once

#include "lacewingmux_backend/clients/BackendCall.h"
#include "lacewingmux_backend/clients/BackendRun.h"
#include "lacewingmux_backend/clients/CompletionAssembler.h"
#include "lacewingmux_backend/clients/EventStreamReader.h"

#include <memory>

namespace lacewingmux {

class ConnectionPool;
class TimerService;

/**
    One chat completion at an engine.

    A stream is passed on in whole events, each once. When its connection breaks, the stream is
    resumed at the engine from the first event that is missing; nothing is run again. A stream
    counts as whole only when its end mark has come; its answer has the body that the completion
    would have had unstreamed.
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
    EventStreamReader reader;
    CompletionAssembler assembler;
    std::int64_t nextSequence = 0;
    int resumeCount = 0;
    bool endReceived = false; ///< the end mark has come
    bool missedEvent = false; ///< an event was skipped, so the rest can't be passed on
    BackendResponse usage;    ///< only its token counts are used
};

} // namespace lacewingmux
