#include "engine/library/CacheEventFeed.h"

#include <QJsonArray>

namespace lacewingmux::standin {

namespace {

constexpr std::size_t maxKeptEvents = 4096;

} // namespace

CacheEventFeed::CacheEventFeed(std::chrono::milliseconds eventLag, int eventGap)
    : lag(eventLag)
    , gap(eventGap)
{ }

void CacheEventFeed::add(const QString &kind, const QString &program, std::int64_t tokens)
{
    ++this->lastSequence;
    if (this->gap > 0 && this->lastSequence % this->gap == 0)
        return;
    this->events.push_back(
            {this->lastSequence, std::chrono::steady_clock::now(), kind, program, tokens});
    if (this->events.size() > maxKeptEvents)
        this->events.pop_front();
}

QJsonObject CacheEventFeed::eventsAfter(std::int64_t sequence) const
{
    const auto newest = std::chrono::steady_clock::now() - this->lag;
    QJsonArray list;
    for (const Event &event : this->events) {
        if (event.sequence <= sequence || event.time > newest)
            continue;
        list.append(QJsonObject{{QStringLiteral("sequence"), static_cast<qint64>(event.sequence)},
                                {QStringLiteral("kind"), event.kind},
                                {QStringLiteral("program"), event.program},
                                {QStringLiteral("tokens"), static_cast<qint64>(event.tokens)}});
    }
    return QJsonObject{{QStringLiteral("events"), list}};
}

} // namespace lacewingmux::standin
