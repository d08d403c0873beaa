#include "lacewingmux_node/records/DiskIdentity.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QDir>
#include <QFile>
#include <QRandomGenerator>

#include <unistd.h>

namespace lacewingmux {

namespace {

constexpr const char *identityFileName = "disk-id";

[[noreturn]] void throwFileError(const QFile &file)
{
    throw LacewingmuxError(ErrorKind::InternalError,
                           QStringLiteral("cannot use the disk identity file %1: %2")
                                   .arg(file.fileName(), file.errorString()));
}

} // namespace

DiskIdentity loadOrCreateDiskIdentity(const QString &folder)
{
    QDir().mkpath(folder);
    QFile file(folder + u'/' + QLatin1String(identityFileName));
    if (file.open(QIODevice::ReadOnly)) {
        const QByteArray text = file.readAll();
        file.close();
        // A number without the line feed was only partly written, because of a power failure before
        // the disk was used.
        bool valid = false;
        const std::uint64_t number = text.trimmed().toULongLong(&valid);
        if (valid && text.endsWith('\n'))
            return {number, false};
    }
    const std::uint64_t number = QRandomGenerator::system()->generate64();
    if (!file.open(QIODevice::WriteOnly | QIODevice::Truncate))
        throwFileError(file);
    const QByteArray text = QByteArray::number(static_cast<quint64>(number)) + '\n';
    if (file.write(text) != text.size() || !file.flush() || ::fsync(file.handle()) != 0)
        throwFileError(file);
    return {number, true};
}

} // namespace lacewingmux
