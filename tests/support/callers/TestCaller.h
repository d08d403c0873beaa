#pragma once

#include "callers/CallerRequestSpec.h"
#include "events/CallerAttempt.h"

#include <QByteArray>
#include <QString>

#include <functional>
#include <memory>
#include <vector>

class QNetworkReply;

/**
    A caller of one team that records each of its attempts for the invariant checks.

    Every request goes over a connection of its own: Qt's network access sends a request again by
    itself when a kept connection was closed, and a test must know each attempt.
*/
class TestCaller
{
public:
    using Finished = std::function<void(const CallerAttempt &)>;

    TestCaller(QString callerTeam, QByteArray callerKey);
    ~TestCaller();
    TestCaller(const TestCaller &) = delete;
    TestCaller &operator=(const TestCaller &) = delete;

    /** Sends a request; the callback runs when its outcome is known. */
    void send(const CallerRequestSpec &spec, Finished finished);

    /** Sends a request and runs the event loop until its outcome is known. */
    CallerAttempt sendAndWait(const CallerRequestSpec &spec);

    /** Returns all attempts whose outcome is known. */
    [[nodiscard]] const std::vector<CallerAttempt> &attempts() const
    {
        return this->recorded;
    }

    /** Returns how many requests are still without an outcome. */
    [[nodiscard]] std::size_t pending() const
    {
        return this->open;
    }

private:
    void record(CallerAttempt attempt, QNetworkReply &reply, const Finished &finished);

    QString team;
    QByteArray key;
    std::vector<CallerAttempt> recorded;
    std::size_t open = 0;
    std::shared_ptr<bool> alive;
};
