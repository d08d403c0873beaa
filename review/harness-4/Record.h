#pragma once

#include <QElapsedTimer>
#include <QFile>
#include <QString>

namespace lacewingmux::review {

/** Writes the lines of record.txt, each with the time since the start in milliseconds. */
class Record
{
public:
    /** Replaces the file. Throws LacewingmuxError if it can't be written. */
    explicit Record(const QString &path);

    void write(const QString &line);

    /** Returns the time since the start in milliseconds. */
    [[nodiscard]] qint64 elapsed() const;

private:
    QFile file;
    QElapsedTimer clock;
};

} // namespace lacewingmux::review
