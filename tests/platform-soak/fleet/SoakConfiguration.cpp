#include "fleet/SoakConfiguration.h"

#include "plan/SoakPlan.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>

namespace lacewingmux::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds applyTime{2000}; // until a version is in force everywhere

} // namespace

SoakConfiguration::SoakConfiguration(std::uint32_t seed)
    : random(seed)
{ }

void SoakConfiguration::change(Change what)
{
    this->version += this->draw(1, 4);
    switch (what) {
    case Change::Idle:
        this->idleTimeout = milliseconds(this->draw(3000, 8000));
        break;
    case Change::Timeout:
        this->streamTimeout = milliseconds(this->draw(3000, 6000));
        break;
    case Change::Route:
        this->streamsAreExchanged = this->draw(0, 1) == 1;
        this->addedRoutes = this->draw(0, 4);
        break;
    }
}

void SoakConfiguration::noteWritten(TimerService::SteadyTime now)
{
    this->written.push_back({now, this->streamTimeout});
}

QByteArray SoakConfiguration::document() const
{
    QJsonArray routes;
    for (const CallKind kind :
         {CallKind::Turn, CallKind::ResumableStream, CallKind::OnceOnly, CallKind::Repeatable})
        routes.append(this->route(kind));
    for (int number = 0; number < this->addedRoutes; ++number) {
        QJsonObject added = this->route(CallKind::Repeatable);
        added.insert(QStringLiteral("name"), QStringLiteral("added-%1").arg(number));
        added.insert(QStringLiteral("prefix"), QStringLiteral("/added-%1/").arg(number));
        routes.append(added);
    }
    QJsonArray services;
    for (const QByteArray &name : SoakPlan::services())
        services.append(this->service(name));
    const QJsonObject limits{
            {QStringLiteral("maxHeaderBytes"), 16384},
            {QStringLiteral("maxBodyBytes"), 4194304},
            {QStringLiteral("headerTimeoutMs"), 3000},
            {QStringLiteral("idleTimeoutMs"), static_cast<qint64>(this->idleTimeout.count())}};
    return QJsonDocument(QJsonObject{{QStringLiteral("version"), this->version},
                                     {QStringLiteral("limits"), limits},
                                     {QStringLiteral("routes"), routes},
                                     {QStringLiteral("services"), services}})
            .toJson(QJsonDocument::Compact);
}

QJsonObject SoakConfiguration::route(CallKind kind) const
{
    const QString name = QLatin1String(nameOf(kind));
    const bool usesFirst = (kind == CallKind::Turn) != this->streamsAreExchanged;
    const QString model = usesFirst ? QStringLiteral("model-a") : QStringLiteral("model-b");
    const QString plainType =
            kind == CallKind::OnceOnly ? QStringLiteral("unsafe") : QStringLiteral("safe");
    QJsonObject route{
            {QStringLiteral("name"), name},
            {QStringLiteral("host"), QStringLiteral("soak.example")},
            {QStringLiteral("prefix"), u'/' + name + u'/'},
            {QStringLiteral("type"), isStream(kind) ? QStringLiteral("stream") : plainType},
            {QStringLiteral("service"), isStream(kind) ? model : QStringLiteral("desk")},
            {QStringLiteral("timeoutMs"),
             static_cast<qint64>(this->timeoutOf(kind, this->streamTimeout).count())},
            {QStringLiteral("targetLatencyMs"), 250},
            {QStringLiteral("priority"), isStream(kind) ? 1 : 2},
            {QStringLiteral("attempts"), kind == CallKind::ResumableStream ? 1 : 2}};
    if (isStream(kind))
        route.insert(QStringLiteral("sticky"), true);
    if (kind == CallKind::ResumableStream)
        route.insert(QStringLiteral("resumable"), true);
    if (kind == CallKind::Turn) {
        route.insert(QStringLiteral("retain"), true);
        route.insert(QStringLiteral("retentionS"), 60);
    }
    return route;
}

QJsonObject SoakConfiguration::service(const QByteArray &name) const
{
    QJsonObject service{{QStringLiteral("name"), QString::fromLatin1(name)}};
    if (name.startsWith("model"))
        service.insert(QStringLiteral("engine"),
                       QJsonObject{{QStringLiteral("tokensPerEvent"), 14}});
    return service;
}

milliseconds SoakConfiguration::timeoutOf(CallKind kind, milliseconds stream) const
{
    if (isStream(kind))
        return stream;
    return milliseconds(kind == CallKind::OnceOnly ? 3000 : 2000);
}

milliseconds SoakConfiguration::shortestTimeout(CallKind kind, TimerService::SteadyTime begin,
                                                TimerService::SteadyTime end) const
{
    milliseconds shortest = milliseconds::max();
    for (std::size_t index = 0; index < this->written.size(); ++index) {
        const bool isLast = index + 1 == this->written.size();
        const bool isOver = !isLast && this->written[index + 1].writtenAt + applyTime < begin;
        if (!isOver && this->written[index].writtenAt <= end)
            shortest =
                    std::min(shortest, this->timeoutOf(kind, this->written[index].streamTimeout));
    }
    return shortest;
}

int SoakConfiguration::draw(int least, int most)
{
    return std::uniform_int_distribution<int>(least, most)(this->random);
}

} // namespace lacewingmux::soak
