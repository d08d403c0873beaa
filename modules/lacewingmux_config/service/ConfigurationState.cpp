#include "lacewingmux_config/service/ConfigurationState.h"

#include "lacewingmux_config/documents/ConfigurationDocument.h"
#include "lacewingmux_config/records/ConfigurationRegister.h"
#include "lacewingmux_config/records/RevisionedRecord.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/logging/StructuredLog.h"

namespace lacewingmux {

namespace {

void logRefusal(const QByteArray &storeKey, const QString &reason)
{
    LogEvent(LogSeverity::Error, "configurationRecordRefused")
            .field("record", QString::fromUtf8(storeKey))
            .field("reason", reason);
}

} // namespace

ConfigurationState::Change ConfigurationState::adopt(const ConfigurationFile &file)
{
    if (file.value.isEmpty())
        return Change::None;
    if (file.storeKey == ConfigurationRegister::storeKey)
        return this->adoptConfiguration(file);
    for (int index = 0; index < KeyShard::shardCount; ++index) {
        if (file.storeKey == KeyShard::storeKey(index))
            return this->adoptKeyShard(index, file);
    }
    return Change::None;
}

RevisionSet ConfigurationState::revisions() const
{
    RevisionSet revisions;
    revisions.configuration = this->currentConfiguration->revision;
    for (int index = 0; index < KeyShard::shardCount; ++index)
        revisions.keyShards[static_cast<std::size_t>(index)] =
                this->currentKeyRing->revision(index);
    return revisions;
}

std::vector<ConfigurationFile> ConfigurationState::newerThan(const RevisionSet &known) const
{
    const RevisionSet own = this->revisions();
    std::vector<ConfigurationFile> newer;
    const auto add = [this, &newer](const QByteArray &storeKey) {
        const auto found = this->values.find(storeKey);
        if (found != this->values.end())
            newer.push_back({found->first, found->second});
    };
    if (own.configuration > known.configuration)
        add(ConfigurationRegister::storeKey);
    for (std::size_t index = 0; index < own.keyShards.size(); ++index) {
        if (own.keyShards[index] > known.keyShards[index])
            add(KeyShard::storeKey(static_cast<int>(index)));
    }
    return newer;
}

ConfigurationState::Change ConfigurationState::adoptConfiguration(const ConfigurationFile &file)
{
    const std::optional<RevisionedRecord> record = RevisionedRecord::parse(file.value);
    if (!record) {
        logRefusal(file.storeKey, QStringLiteral("not a record with a revision"));
        return Change::None;
    }
    if (record->revision <= this->currentConfiguration->revision)
        return Change::None;
    SettingsFindings findings;
    Configuration read = ConfigurationDocument::read(record->document, findings);
    if (!findings.faults.empty()) {
        logRefusal(file.storeKey, findings.faultText());
        return Change::None;
    }
    read.revision = record->revision;
    this->currentConfiguration = std::make_shared<const Configuration>(std::move(read));
    this->values[file.storeKey] = file.value;
    return Change::Configuration;
}

ConfigurationState::Change ConfigurationState::adoptKeyShard(int shardIndex,
                                                             const ConfigurationFile &file)
{
    try {
        const auto newer =
                this->currentKeyRing->withShard(KeyShard::fromJson(shardIndex, file.value));
        if (!newer)
            return Change::None;
        this->withdrawnKeys = this->currentKeyRing->withdrawnIn(*newer);
        this->currentKeyRing = newer;
        this->values[file.storeKey] = file.value;
        return Change::Keys;
    } catch (const LacewingmuxError &error) {
        logRefusal(file.storeKey, error.message());
        return Change::None;
    }
}

} // namespace lacewingmux
