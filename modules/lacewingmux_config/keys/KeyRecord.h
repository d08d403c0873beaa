#pragma once

#include <QByteArray>
#include <QString>

#include <chrono>
#include <optional>

namespace lacewingmux {

/** A team's key as it is stored: without its secret, with a salted digest of it. */
struct KeyRecord
{
    QString keyId;
    QString team;
    QByteArray salt;   ///< 16 bytes
    QByteArray digest; ///< SHA-256 of salt and secret
    std::chrono::system_clock::time_point issued;
    std::optional<std::chrono::system_clock::time_point> withdrawn;

    /** Makes the record of a new key with a salt of its own. */
    [[nodiscard]] static KeyRecord make(const QString &keyId, const QByteArray &secret,
                                        const QString &team,
                                        std::chrono::system_clock::time_point issued);

    /**
        Tells whether the secret is the key's, in a time that does not depend on where it differs.

        One round of SHA-256 is enough: the secret has 256 random bits, so there is nothing to
       guess.
    */
    [[nodiscard]] bool matches(const QByteArray &secret) const;
};

} // namespace lacewingmux
