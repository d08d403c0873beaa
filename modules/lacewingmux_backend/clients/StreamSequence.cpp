#include "lacewingmux_backend/clients/StreamSequence.h"

#include "lacewingmux_backend/clients/EventStreamReader.h"

#include <QJsonArray>

#include <algorithm>

namespace lacewingmux {

namespace {

bool hasOutput(const QJsonObject &choice)
{
    const QJsonObject delta = choice.value(QStringLiteral("delta")).toObject();
    return !delta.value(QStringLiteral("content")).toString().isEmpty()
           || !delta.value(QStringLiteral("refusal")).toString().isEmpty()
           || !delta.value(QStringLiteral("tool_calls")).toArray().isEmpty();
}

bool hasOutput(const StreamEvent &event)
{
    const QJsonArray choices = event.json.value(QStringLiteral("choices")).toArray();
    return std::any_of(choices.begin(), choices.end(),
                       [](const auto &choice) { return hasOutput(choice.toObject()); });
}

} // namespace

EventVerdict StreamSequence::accept(const StreamEvent &event, bool isResumed)
{
    if (!event.isValid || this->isOfOtherCompletion(event, isResumed))
        return EventVerdict::Unusable;
    const auto number = event.sequenceNumber();
    if (!number) {
        // Without a number, output of a resumed stream may be a repetition.
        return isResumed && hasOutput(event) ? EventVerdict::Unusable : EventVerdict::Accept;
    }
    if (*number < this->next)
        return EventVerdict::Skip;
    if (*number > this->next)
        return EventVerdict::Unusable;
    ++this->next;
    return EventVerdict::Accept;
}

bool StreamSequence::isOfOtherCompletion(const StreamEvent &event, bool isResumed)
{
    const QString id = event.json.value(QStringLiteral("id")).toString();
    if (id.isEmpty())
        return false;
    if (this->completionId.isEmpty())
        this->completionId = id;
    const bool differs = id != this->completionId;
    if (!isResumed)
        this->idVaries = this->idVaries || differs;
    return isResumed && differs && !this->idVaries;
}

} // namespace lacewingmux
