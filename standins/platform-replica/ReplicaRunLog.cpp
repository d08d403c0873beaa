#include "platform-replica/ReplicaRunLog.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <chrono>

namespace lacewingmux::standin {

ReplicaRunLog::ReplicaRunLog(const QString &path)
    : file(path)
{
    if (!this->file.open(QIODevice::WriteOnly | QIODevice::Append | QIODevice::Unbuffered))
        throw LacewingmuxError(ErrorKind::InternalError, QStringLiteral("can't write ") + path);
}

void ReplicaRunLog::runBegan(const QByteArray &run, const QByteArray &request, int resumedAfter)
{
    this->write(run, request, "begin", resumedAfter);
}

void ReplicaRunLog::runEnded(const QByteArray &run, const QByteArray &request, int lastEvent,
                             const char *outcome)
{
    this->write(run, request, outcome, lastEvent);
}

void ReplicaRunLog::write(const QByteArray &run, const QByteArray &request, const char *what,
                          int event)
{
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
    const QJsonObject line{{QStringLiteral("at"), static_cast<qint64>(time.count())},
                           {QStringLiteral("run"), QString::fromLatin1(run)},
                           {QStringLiteral("request"), QString::fromLatin1(request)},
                           {QStringLiteral("what"), QLatin1String(what)},
                           {QStringLiteral("event"), event}};
    this->file.write(QJsonDocument(line).toJson(QJsonDocument::Compact) + '\n');
}

} // namespace lacewingmux::standin
