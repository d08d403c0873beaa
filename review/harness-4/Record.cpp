#include "Record.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

namespace lacewingmux::review {

Record::Record(const QString &path)
    : file(path)
{
    this->clock.start();
    if (!this->file.open(QIODevice::WriteOnly | QIODevice::Truncate))
        throw LacewingmuxError(ErrorKind::InternalError, QStringLiteral("can't write ") + path);
}

void Record::write(const QString &line)
{
    this->file.write(QStringLiteral("%1 %2\n").arg(this->elapsed(), 6).arg(line).toUtf8());
    this->file.flush();
}

qint64 Record::elapsed() const
{
    return this->clock.elapsed();
}

} // namespace lacewingmux::review
