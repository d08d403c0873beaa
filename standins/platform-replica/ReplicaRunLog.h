#pragma once

#include <QByteArray>
#include <QFile>
#include <QString>

namespace lacewingmux::standin {

/** The file in which a stand-in replica records its runs, one JSON object a line. */
class ReplicaRunLog
{
public:
    /** Opens the file for appending. Throws LacewingmuxError on failure. */
    explicit ReplicaRunLog(const QString &path);

    void runBegan(const QByteArray &run, const QByteArray &request, int resumedAfter);
    void runEnded(const QByteArray &run, const QByteArray &request, int lastEvent,
                  const char *outcome);

private:
    void write(const QByteArray &run, const QByteArray &request, const char *what, int event);

    QFile file;
};

} // namespace lacewingmux::standin
