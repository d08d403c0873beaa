#include "lacewingmux_gateway/forwarding/DeliveredStream.h"

#include "lacewingmux_gateway/forwarding/StreamEvents.h"

namespace lacewingmux {

void DeliveredStream::append(const StreamEvents &events)
{
    this->eventCount += events.count;
    this->eventData += events.data;
    if (!events.lastId.isEmpty())
        this->lastEventId = events.lastId;
}

} // namespace lacewingmux
