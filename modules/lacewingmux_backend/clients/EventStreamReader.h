#pragma once

#include <QByteArray>
#include <QJsonObject>

#include <cstdint>
#include <optional>
#include <vector>

namespace lacewingmux {

/** One server-sent event of an engine's stream. */
struct StreamEvent
{
    QByteArray bytes;   ///< unchanged, with the blank line that ends the event
    bool isEnd = false; ///< whether the data is "[DONE]"
    QJsonObject json;   ///< empty for the end event
    /** Whether all lines are fields or comments and none is of the head of an answer, and the data,
        if any, is the end or a JSON object. */
    bool isValid = true;

    /** Returns the event's sequence number in the stream, if the engine sends one. */
    [[nodiscard]] std::optional<std::int64_t> sequenceNumber() const;
};

/** Splits the bytes of a stream into complete server-sent events. */
class EventStreamReader
{
public:
    /** Appends received bytes and returns the events that they complete. */
    [[nodiscard]] std::vector<StreamEvent> append(const QByteArray &bytes);

private:
    QByteArray pending;
};

} // namespace lacewingmux
