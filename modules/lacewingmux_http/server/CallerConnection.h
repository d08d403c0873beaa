#pragma once

#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_http/server/RequestHead.h"

#include <QByteArray>
#include <QObject>
#include <QPointer>
#include <QtGlobal>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

class QTcpSocket;

namespace lacewingmux {

class CallerAnswer;
class CallerServer;
class LacewingmuxError;
class ParserSocket;
struct CallerRequest;

/**
    One connection of a caller: bounds what comes in before the HTTP library sees it, and keeps
    the answers in the order of the requests.

    Bytes wait here until the head of a request is whole; then the head and just its body go to
    the library's parser. While as many requests as the limit allows are unanswered, nothing more
    is read, so that TCP holds the caller back. Owned by its CallerServer.
*/
class CallerConnection final : public QObject
{
public:
    CallerConnection(CallerServer &owningServer, qintptr socketDescriptor);
    ~CallerConnection() override;
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /** Returns the socket to hand to the HTTP library; this connection owns it. */
    [[nodiscard]] ParserSocket *parserSocket() const;

    /** Called by the server when the library has parsed a whole request. */
    void requestParsed(CallerRequest request);

    /** Tells whether the answer that is begun now must be the last on this connection. */
    [[nodiscard]] bool closesAfterNextAnswer() const;

    /** Writes bytes of the first answer in line. */
    void write(const QByteArray &bytes);

    /** Moves on after an answer has ended. */
    void answerEnded();

    /** Ends the connection when one of its time limits has passed. */
    void enforceTimeLimits(TimerService::SteadyTime now);

    /** Tells whether a request has begun to arrive or is unanswered, or an answer is unsent. */
    [[nodiscard]] bool isBusy() const;

private:
    enum class Phase : std::uint8_t { ReadingHead, ReadingBody, InputClosed };

    void readInput();
    void processInput();
    [[nodiscard]] bool processHead();
    [[nodiscard]] bool processBody();
    void feedParser(const QByteArray &bytes);
    void refuse(const LacewingmuxError &error);
    void closeAfterAnswers();
    void forgetAnswers();
    void disconnected();

    CallerServer &server;
    QTcpSocket *socket; ///< child of this
    QPointer<ParserSocket> parser;
    std::deque<std::shared_ptr<CallerAnswer>> answers;
    QByteArray input; ///< read and not yet let through to the parser
    Phase phase = Phase::ReadingHead;
    RequestHead head;
    qint64 bodyBytesFed = 0;
    bool requestComplete = false;
    bool processing = false;
    bool refused = false; ///< the caller may still be sending what is not wanted
    std::optional<TimerService::SteadyTime> requestStarted;
    std::optional<TimerService::SteadyTime> closingSince;
    TimerService::SteadyTime lastActivity;
};

} // namespace lacewingmux
