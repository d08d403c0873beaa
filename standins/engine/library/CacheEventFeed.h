#pragma once

#include <QJsonObject>
#include <QString>

#include <chrono>
#include <cstdint>
#include <deque>

namespace lacewingmux::standin {

/** Cache events as an engine publishes them: late, and with gaps in their numbers. */
class CacheEventFeed
{
public:
    /** Takes the lag of events and that every gap-th is lost; 0 loses none. */
    CacheEventFeed(std::chrono::milliseconds eventLag, int eventGap);

    /** Records an event of the kind "stored" or "released". */
    void add(const QString &kind, const QString &program, std::int64_t tokens);

    /** Returns {"events": [...]}: those after the number that are old enough to show. */
    [[nodiscard]] QJsonObject eventsAfter(std::int64_t sequence) const;

private:
    struct Event
    {
        std::int64_t sequence = 0;
        std::chrono::steady_clock::time_point time;
        QString kind;
        QString program;
        std::int64_t tokens = 0;
    };

    std::chrono::milliseconds lag;
    int gap;
    std::int64_t lastSequence = 0;
    std::deque<Event> events;
};

} // namespace lacewingmux::standin
