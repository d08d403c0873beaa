#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_program/requests/OwnerService.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace lacewingmux::test {

/** What the VMs of a zone know together about one request: the stand-in for the journal. */
struct RecordedRequest
{
    int runs = 0;
    bool running = false;
    bool lost = false; ///< its owner died while it ran
    std::optional<QByteArray> answer;
};

using RequestRecords = std::map<QString, RecordedRequest>;

/** Returns the only right answer to the request with the name. */
[[nodiscard]] QByteArray rightAnswer(const QString &name);

/**
    An owner that runs each request once, by its name, and answers late and in random pieces. It
    says that it isn't the owner when the test's view says so.
*/
class RecordingOwner final : public OwnerService
{
public:
    RecordingOwner(TimerService &timerService, RequestRecords &sharedRecords, unsigned seed,
                   std::function<bool(const QString &)> ownsRequest);
    ~RecordingOwner() override;

    OwnerRequestHandle handle(const OwnerRequest &request, ResponseSink sink) override;
    void callerGone(OwnerRequestHandle request) override;
    void withdrawKey(const QString &keyId) override;

    /** Ends the work on requests that belong to another owner now. */
    void loseOwnership();

private:
    struct Waiter
    {
        QString name;
        ResponseSink sink;
        bool stream = false;
        std::vector<QByteArray> pieces; ///< still to send
        bool begun = false;
    };

    void run(const QString &name);
    void answerWaiters(const QString &name);
    void sendNextPiece(OwnerRequestHandle handle);
    [[nodiscard]] std::chrono::milliseconds someTime();
    void later(std::function<void()> callback);

    TimerService &timers;
    RequestRecords &records;
    std::mt19937 random;
    std::function<bool(const QString &)> owns;
    std::map<OwnerRequestHandle, Waiter> waiters;
    OwnerRequestHandle nextHandle = 1;
    std::vector<TimerSubscription> subscriptions;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lacewingmux::test
