#pragma once

#include "lacewingmux_program/requests/HttpHeader.h"

#include <QByteArray>
#include <QPointer>

#include <functional>
#include <vector>

namespace lacewingmux {

class CallerConnection;
class LacewingmuxError;

/**
    Takes the answer to one request of a caller and writes it when its turn comes: answers to
    pipelined requests leave in the order of the requests.

    Kept by std::shared_ptr for as long as the answer is in the making; it stays valid after the
    caller has gone, and then drops what it is given. Either send() or fail() once, or begin(),
    any number of chunk() and then end() or cutOff().
*/
class CallerAnswer
{
public:
    CallerAnswer(CallerConnection &answeredConnection, bool headOnly, bool chunkedAllowed);
    CallerAnswer(const CallerAnswer &) = delete;
    CallerAnswer &operator=(const CallerAnswer &) = delete;

    /** Sends a whole answer with its Content-Length. */
    void send(int httpStatus, const std::vector<HttpHeader> &headers, const QByteArray &body);

    /** Sends the error's JSON body with its status and, where a retry makes sense, Retry-After. */
    void fail(const LacewingmuxError &error);

    /** Starts an answer whose length is not known yet. */
    void begin(int httpStatus, const std::vector<HttpHeader> &headers);

    /** Sends one piece of the body of a started answer. */
    void chunk(const QByteArray &bytes);

    /** Ends a started answer. */
    void end();

    /** Ends a started answer as incomplete: the connection is closed without the last chunk, or
        reset if the answer has no chunks. */
    void cutOff();

    /** Makes this the last answer on its connection. */
    void closeAfterwards() noexcept
    {
        this->last = true;
    }

    /** Sets what to call, once, when the caller goes before the answer has ended. */
    void setCallerGoneHandler(std::function<void()> handler);

    [[nodiscard]] bool hasBegun() const noexcept
    {
        return this->begun;
    }
    [[nodiscard]] bool hasEnded() const noexcept
    {
        return this->ended;
    }

private:
    friend class CallerConnection;

    [[nodiscard]] QByteArray headBytes(int httpStatus, const std::vector<HttpHeader> &headers,
                                       const QByteArray &framing);
    void write(const QByteArray &bytes);
    void finish();
    void callerGone();

    QPointer<CallerConnection> connection;
    std::function<void()> callerGoneHandler;
    QByteArray waiting; ///< written before this answer's turn
    bool headOnly;
    bool chunkedAllowed;
    bool chunked = false;
    bool begun = false;
    bool ended = false;
    bool last = false;
    bool endLooksWhole = false; ///< cut off, and an orderly close would mark its end
    bool firstInLine = false;
};

} // namespace lacewingmux
