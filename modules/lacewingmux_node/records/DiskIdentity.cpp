#include "lacewingmux_node/records/DiskIdentity.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QDir>
#include <QFile>
#include <QRandomGenerator>

#include <unistd.h>

namespace lacewingmux {

namespace {

constexpr const char *fileName = "disk-id";

[[noreturn]] void failDisk(const QFile &file)
{
    throw LacewingmuxError(
            ErrorKind::InternalError,
            QStringLiteral("cannot use %1: %2").arg(file.fileName(), file.errorString()));
}

} // namespace

DiskIdentity identifyDisk(const QString &folder)
{
    QDir().mkpath(folder);
    QFile file(folder + u'/' + QLatin1String(fileName));
    if (file.open(QIODevice::ReadOnly)) {
        const QByteArray text = file.readAll();
        file.close();
        // A line feed ends a whole number: without it the power went before the disk was in use.
        bool sound = false;
        const std::uint64_t number = text.trimmed().toULongLong(&sound);
        if (sound && text.endsWith('\n'))
            return {number, false};
    }
    const std::uint64_t number = QRandomGenerator::system()->generate64();
    if (!file.open(QIODevice::WriteOnly | QIODevice::Truncate))
        failDisk(file);
    const QByteArray text = QByteArray::number(static_cast<quint64>(number)) + '\n';
    if (file.write(text) != text.size() || !file.flush() || ::fsync(file.handle()) != 0)
        failDisk(file);
    return {number, true};
}

} // namespace lacewingmux
