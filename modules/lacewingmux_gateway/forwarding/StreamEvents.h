#pragma once

#include <QByteArray>

#include <cstdint>

namespace lacewingmux {

/** Complete events of a stream. */
struct StreamEvents
{
    QByteArray text;            ///< the events as received, each with its empty line
    std::int64_t count = 0;     ///< number of events with data
    QByteArray lastId;          ///< id of the last event that had one; otherwise empty
    bool endsWithoutId = false; ///< the last event with data has no id
    QByteArray data;            ///< data of the events, each followed by a line feed
    qsizetype excessBytes = 0;  ///< of the text, beyond the data and a few fields for each event
};

} // namespace lacewingmux
