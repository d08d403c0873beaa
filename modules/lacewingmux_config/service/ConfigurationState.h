#pragma once

#include "lacewingmux_config/documents/Configuration.h"
#include "lacewingmux_config/keys/KeyRing.h"
#include "lacewingmux_config/service/ConfigurationMessages.h"
#include "lacewingmux_config/service/RevisionSet.h"

#include <QByteArray>
#include <QString>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace lacewingmux {

/**
    What one VM has in force: the configuration and the keys with their revisions.

    It takes records of the platform's store, whoever brings them, and only ever a higher
    revision; so no stale peer, snapshot or store can take anything back.
*/
class ConfigurationState
{
public:
    /** What a record changed. */
    enum class Change : std::uint8_t { None, Configuration, Keys };

    /** Takes a record; a record that can't be read changes nothing and is logged. */
    Change adopt(const ConfigurationFile &file);

    [[nodiscard]] RevisionSet revisions() const;

    [[nodiscard]] std::shared_ptr<const Configuration> configuration() const noexcept
    {
        return this->currentConfiguration;
    }
    [[nodiscard]] std::shared_ptr<const KeyRing> keyRing() const noexcept
    {
        return this->currentKeyRing;
    }

    /** Returns the ids of the keys that the last change of the keys withdrew. */
    [[nodiscard]] const std::vector<QString> &lastWithdrawn() const noexcept
    {
        return this->withdrawnKeys;
    }

    /** Returns the records that are newer than what the other has. */
    [[nodiscard]] std::vector<ConfigurationFile> newerThan(const RevisionSet &known) const;

private:
    Change adoptConfiguration(const ConfigurationFile &file);
    Change adoptKeyShard(int shardIndex, const ConfigurationFile &file);

    std::shared_ptr<const Configuration> currentConfiguration =
            std::make_shared<const Configuration>();
    std::shared_ptr<const KeyRing> currentKeyRing = std::make_shared<const KeyRing>();
    std::vector<QString> withdrawnKeys;
    std::map<QByteArray, QByteArray> values; ///< by store key, as they were taken
};

} // namespace lacewingmux
