#include "lacewingmux_http/front/AnswerRelay.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_http/server/CallerAnswer.h"

#include <QJsonDocument>

#include <algorithm>
#include <utility>

namespace lacewingmux {

AnswerRelay::AnswerRelay(std::shared_ptr<CallerAnswer> callerAnswer, bool streaming)
    : target(std::move(callerAnswer))
    , stream(streaming)
{ }

void AnswerRelay::begin(int answerStatus, const std::vector<HttpHeader> &answerHeaders)
{
    this->status = answerStatus;
    this->headers = answerHeaders;
    this->eventStream =
            std::any_of(answerHeaders.begin(), answerHeaders.end(), [](const HttpHeader &header) {
                return header.name.compare("content-type", Qt::CaseInsensitive) == 0
                       && header.value.startsWith("text/event-stream");
            });
    // Held here: the caller may turn out to be gone, which forgets the request and this relay.
    const std::shared_ptr<CallerAnswer> held = this->target;
    if (this->stream)
        held->begin(answerStatus, answerHeaders);
}

void AnswerRelay::chunk(const QByteArray &bytes)
{
    const std::shared_ptr<CallerAnswer> held = this->target;
    if (this->stream)
        held->chunk(bytes);
    else
        this->body += bytes;
}

void AnswerRelay::end()
{
    if (this->stream)
        this->target->end();
    else
        this->target->send(this->status, this->headers, this->body);
}

void AnswerRelay::fail(const LacewingmuxError &error)
{
    this->status = error.httpStatus();
    if (!this->target->hasBegun()) {
        this->target->fail(error);
        return;
    }
    if (this->eventStream)
        this->target->chunk("event: error\ndata: "
                            + QJsonDocument(error.toJson()).toJson(QJsonDocument::Compact)
                            + "\n\n");
    this->target->cutOff();
}

} // namespace lacewingmux
