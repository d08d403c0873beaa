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
    QByteArray bytes;   ///< as it came, with the blank line that ends it
    bool isEnd = false; ///< "[DONE]"
    QJsonObject json;   ///< empty for the end

    /** Returns the token's place in the stream, where the engine numbers them. */
    [[nodiscard]] std::optional<std::int64_t> sequence() const;
};

/** Cuts the bytes of a stream into whole server-sent events. */
class EventStreamReader
{
public:
    /** Takes bytes; returns the events that they complete. */
    [[nodiscard]] std::vector<StreamEvent> append(const QByteArray &bytes);

private:
    QByteArray pending;
};

} // namespace lacewingmux
