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

void ReplicaRunLog::runBegan(const QByteArray &run, const QByteArray &request, int resumedAfter,
                             const char *fault)
{
    QJsonObject line{{QStringLiteral("event"), resumedAfter}};
    if (*fault != '\0')
        line.insert(QStringLiteral("fault"), QLatin1String(fault));
    this->write(run, request, "begin", line);
}

void ReplicaRunLog::runEnded(const QByteArray &run, const QByteArray &request, int lastEvent,
                             const char *outcome, bool isSpoilt)
{
    this->write(run, request, outcome,
                {{QStringLiteral("event"), lastEvent}, {QStringLiteral("spoilt"), isSpoilt}});
}

void ReplicaRunLog::write(const QByteArray &run, const QByteArray &request, const char *what,
                          QJsonObject line)
{
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
    line.insert(QStringLiteral("at"), static_cast<qint64>(time.count()));
    line.insert(QStringLiteral("run"), QString::fromLatin1(run));
    line.insert(QStringLiteral("request"), QString::fromLatin1(request));
    line.insert(QStringLiteral("what"), QLatin1String(what));
    this->file.write(QJsonDocument(line).toJson(QJsonDocument::Compact) + '\n');
}

} // namespace lacewingmux::standin
