#pragma once

#include "lacewingmux_core/time/TimerService.h"

#include <QByteArray>

#include <functional>
#include <optional>
#include <vector>

namespace lacewingmux {

/**
    Sends the rest of a request whose response has ended with the replica's side of the connection.

    Qt closes its socket when the peer ends its side, so the rest is written to a duplicate of the
    descriptor. A replica that reads the whole request, and closes the connection in order, has sent
   a whole response. One that resets the connection instead has broken the response off.
*/
class UploadCompletion
{
public:
    /** Called once, from the event loop; it may destroy this object. */
    using EndedHook = std::function<void(bool wasReset)>;

    /** Takes the descriptor, which has to stay open, and the parts of the request that are not
        written yet. */
    UploadCompletion(int socketDescriptor, std::vector<QByteArray> unsentParts,
                     TimerService &timerService, EndedHook endedHook);
    ~UploadCompletion();
    UploadCompletion(const UploadCompletion &) = delete;
    UploadCompletion &operator=(const UploadCompletion &) = delete;

    /** Returns whether the peer's system has yet to acknowledge bytes that were written; false if
        that is not known. */
    [[nodiscard]] static bool hasUnacknowledged(int socketDescriptor);

private:
    void continueUpload();
    /** Writes what the system takes; returns whether the connection still takes bytes. */
    [[nodiscard]] bool writeUnsent();
    [[nodiscard]] bool isReset() const;

    int descriptor;
    std::vector<QByteArray> unsent; ///< the last part comes first
    qsizetype writtenOfPart = 0;    ///< bytes of the part that is written at present
    TimerService &timers;
    EndedHook ended;
    std::optional<TimerService::SteadyTime> acknowledgedAt; ///< when all had been acknowledged
    TimerSubscription timer;
};

} // namespace lacewingmux
