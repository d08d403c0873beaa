#include "lacewingmux_config/service/ConfigurationSnapshot.h"

#include "lacewingmux_core/logging/StructuredLog.h"

#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QSaveFile>

namespace lacewingmux {

ConfigurationSnapshot::ConfigurationSnapshot(const QString &dataFolder)
    : path(dataFolder.isEmpty() ? QString() : dataFolder + QStringLiteral("/configuration.json"))
{ }

std::vector<ConfigurationFile> ConfigurationSnapshot::load() const
{
    std::vector<ConfigurationFile> files;
    QFile file(this->path);
    if (this->path.isEmpty() || !file.open(QIODevice::ReadOnly))
        return files;
    for (const QJsonValue entry : QJsonDocument::fromJson(file.readAll()).array()) {
        const QJsonObject object = entry.toObject();
        files.push_back({object.value(QLatin1String("key")).toString().toUtf8(),
                         object.value(QLatin1String("value")).toString().toUtf8()});
    }
    return files;
}

void ConfigurationSnapshot::save(const std::vector<ConfigurationFile> &files) const
{
    if (this->path.isEmpty())
        return;
    QJsonArray entries;
    for (const ConfigurationFile &file : files) {
        entries.append(QJsonObject{{QStringLiteral("key"), QString::fromUtf8(file.storeKey)},
                                   {QStringLiteral("value"), QString::fromUtf8(file.value)}});
    }
    QSaveFile file(this->path);
    const bool saved = file.open(QIODevice::WriteOnly)
                       && file.write(QJsonDocument(entries).toJson(QJsonDocument::Compact)) >= 0
                       && file.commit();
    if (!saved) {
        LogEvent(LogSeverity::Warning, "configurationSnapshotNotSaved")
                .field("file", this->path)
                .field("reason", file.errorString());
    }
}

} // namespace lacewingmux
