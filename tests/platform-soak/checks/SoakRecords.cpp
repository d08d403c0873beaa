#include "checks/SoakRecords.h"

#include "callers/StreamEvent.h"

#include <QDir>
#include <QFile>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace lacewingmux::soak {

namespace {

using std::chrono::milliseconds;

// An entry VM measures a call's time from the arrival of its request, and may hand a replica a
// little less than is left.
constexpr milliseconds timeTolerance{100};
constexpr milliseconds clockTolerance{2}; // the clocks are read one after the other

QString seconds(milliseconds time)
{
    return QString::number(static_cast<double>(time.count()) / 1000.0, 'f', 3);
}

} // namespace

SoakRecords::SoakRecords(const SoakConfiguration &soakConfiguration)
    : configuration(soakConfiguration)
{ }

void SoakRecords::readRuns(const QString &folder)
{
    const QDir directory(folder);
    for (const QString &name : directory.entryList({QStringLiteral("*.runs")}, QDir::Files)) {
        QFile file(directory.filePath(name));
        if (!file.open(QIODevice::ReadOnly))
            continue;
        while (!file.atEnd())
            this->readRunLine(file.readLine());
    }
}

void SoakRecords::readRunLine(const QByteArray &line)
{
    const QJsonObject object = QJsonDocument::fromJson(line).object();
    const QByteArray run = object.value(QLatin1String("run")).toString().toLatin1();
    const QByteArray what = object.value(QLatin1String("what")).toString().toLatin1();
    std::vector<ReplicaRun> &known =
            this->runs[object.value(QLatin1String("request")).toString().toLatin1()];
    auto found = std::find_if(known.begin(), known.end(),
                              [&run](const ReplicaRun &entry) { return entry.run == run; });
    if (found == known.end())
        found = known.insert(known.end(), ReplicaRun{run, {}, 0, {}, false, {}});
    if (what == "begin") {
        found->fault = object.value(QLatin1String("fault")).toString().toLatin1();
        found->beganAt = milliseconds(object.value(QLatin1String("at")).toInteger());
    } else {
        found->outcome = what;
        found->isSpoilt = object.value(QLatin1String("spoilt")).toBool();
    }
    found->lastEvent = object.value(QLatin1String("event")).toInt();
}

const std::vector<ReplicaRun> &SoakRecords::runsOf(const QByteArray &request) const
{
    static const std::vector<ReplicaRun> none;
    const auto found = this->runs.find(request);
    return found == this->runs.end() ? none : found->second;
}

std::vector<ReplicaRun> SoakRecords::runsOf(const CallRecord &call) const
{
    std::vector<ReplicaRun> own = this->runsOf(call.requestId);
    const auto sharesId = [&call](const CallRecord &other) {
        return other.requestId == call.requestId && other.sentAt != call.sentAt;
    };
    if (std::none_of(this->calls.begin(), this->calls.end(), sharesId))
        return own;
    const auto wallTime = [this](TimerService::SteadyTime time) {
        return this->wallBegin + std::chrono::floor<milliseconds>(time - this->begin);
    };
    std::erase_if(own, [&](const ReplicaRun &run) {
        return run.beganAt < wallTime(call.sentAt) - clockTolerance
               || run.beganAt > wallTime(call.endedAt) + clockTolerance;
    });
    return own;
}

milliseconds SoakRecords::timeOf(const CallRecord &call) const
{
    return std::min(call.deadline,
                    this->configuration.shortestTimeout(call.kind, call.sentAt, call.endedAt));
}

bool SoakRecords::timeWasUp(const CallRecord &call) const
{
    return call.duration() + timeTolerance >= this->timeOf(call);
}

QString SoakRecords::describe(const CallRecord &call) const
{
    const auto sent = std::chrono::floor<milliseconds>(call.sentAt - this->begin);
    QString text =
            QStringLiteral("%1 %2 at %3: sent at %4 s on a %5 connection, %6 after %7 s, "
                           "status %8")
                    .arg(QLatin1String(nameOf(call.kind)), QString::fromLatin1(call.requestId),
                         QString::fromLatin1(call.vm), seconds(sent),
                         call.onKeptConnection ? QStringLiteral("kept") : QStringLiteral("new"),
                         QLatin1String(nameOf(call.end)), seconds(call.duration()))
                    .arg(call.status);
    if (isStream(call.kind))
        text += QStringLiteral(", events %1 to %2 of %3")
                        .arg(call.resumedAfter + 1)
                        .arg(StreamEvent::lastNumber(call.body))
                        .arg(call.events);
    for (const ReplicaRun &run : this->runsOf(call.requestId))
        text += QStringLiteral(", run %1 %2 at event %3%4%5")
                        .arg(QString::fromLatin1(run.run),
                             run.outcome.isEmpty() ? QStringLiteral("without end")
                                                   : QString::fromLatin1(run.outcome))
                        .arg(run.lastEvent)
                        .arg(run.fault.isEmpty() ? QString()
                                                 : u' ' + QString::fromLatin1(run.fault),
                             run.isSpoilt ? QStringLiteral(" (spoilt)") : QString());
    return text;
}

} // namespace lacewingmux::soak
