#include "lacewingmux_gateway/forwarding/DeliveredStream.h"

#include "lacewingmux_gateway/forwarding/StreamEvents.h"

#include <tuple>

namespace lacewingmux {

DeliveredStream::DeliveredStream(const QByteArray &callersLastId)
{
    std::ignore = this->eventSequence.accept(callersLastId);
}

void DeliveredStream::append(const StreamEvents &events)
{
    this->eventCount += events.count;
    this->eventData += events.data;
    if (!events.lastId.isEmpty())
        this->lastEventId = events.lastId;
    if (!events.lastId.isEmpty() || events.endsWithoutId)
        this->endsWithoutId = events.endsWithoutId;
}

} // namespace lacewingmux
