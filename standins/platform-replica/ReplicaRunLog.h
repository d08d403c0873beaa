#pragma once

#include <QByteArray>
#include <QFile>
#include <QString>

class QJsonObject;

namespace lacewingmux::standin {

/** The file in which a stand-in replica records its runs, one JSON object a line. */
class ReplicaRunLog
{
public:
    /** Opens the file for appending. Throws LacewingmuxError on failure. */
    explicit ReplicaRunLog(const QString &path);

    /** Records the begin, and how the answer is to be spoilt; empty if it isn't. */
    void runBegan(const QByteArray &run, const QByteArray &request, int resumedAfter,
                  const char *fault);

    /** Records the end, and whether bytes that are not the answer's came before or in it, or some
        of it never came. */
    void runEnded(const QByteArray &run, const QByteArray &request, int lastEvent,
                  const char *outcome, bool isSpoilt);

private:
    void write(const QByteArray &run, const QByteArray &request, const char *what,
               QJsonObject line);

    QFile file;
};

} // namespace lacewingmux::standin
