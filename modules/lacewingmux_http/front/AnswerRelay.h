#pragma once

#include "lacewingmux_program/requests/HttpHeader.h"

#include <QByteArray>

#include <memory>
#include <vector>

namespace lacewingmux {

class CallerAnswer;
class LacewingmuxError;

/**
    Brings an owner's answer to its caller: chunk by chunk when the caller asked for a stream,
    else whole, so that a failure in the middle still becomes a clean error.
*/
class AnswerRelay
{
public:
    AnswerRelay(std::shared_ptr<CallerAnswer> callerAnswer, bool streaming);

    void begin(int status, const std::vector<HttpHeader> &answerHeaders);
    void chunk(const QByteArray &bytes);
    void end();

    /**
        Answers with the error. A stream that has begun gets a server-sent event "error" with the
        error's JSON, where it is one of those, and is cut off without its last chunk.
    */
    void fail(const LacewingmuxError &error);

    [[nodiscard]] CallerAnswer &answer() const noexcept
    {
        return *this->target;
    }
    [[nodiscard]] int httpStatus() const noexcept
    {
        return this->status;
    }

private:
    std::shared_ptr<CallerAnswer> target;
    bool stream;
    bool eventStream = false;
    int status = 0;
    std::vector<HttpHeader> headers;
    QByteArray body;
};

} // namespace lacewingmux
