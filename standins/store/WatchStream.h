#pragma once

#include "lacewingmux_keyvalue/memory/KeyValueTable.h"
#include "lacewingmux_keyvalue/store/KeyRange.h"

#include <QJsonObject>
#include <QPointer>
#include <QTcpSocket>

#include <cstdint>

namespace lacewingmux {

/** One open watch: a chunked answer with one JSON object a line. */
class WatchStream
{
public:
    /** Starts the answer to a watch request; a start revision of 0 means from now on. */
    WatchStream(QTcpSocket *watchSocket, const QJsonObject &createRequest,
                const KeyValueTable &table);

    /** Sends what changed since the last delivery, or cancels the watch when that is compacted. */
    void deliver(const KeyValueTable &table);

    /** Breaks the connection without a word. */
    void breakOff();

    /** Tells whether the watcher has gone or the watch was cancelled. */
    [[nodiscard]] bool isOver() const;

private:
    void send(const QJsonObject &result);

    QPointer<QTcpSocket> socket;
    KeyRange keys;
    std::int64_t seenRevision = 0;
    bool cancelled = false;
};

} // namespace lacewingmux
