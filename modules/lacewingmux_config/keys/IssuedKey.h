#pragma once

#include "lacewingmux_config/keys/KeyEntry.h"

#include <QByteArray>
#include <QString>

#include <functional>

namespace lacewingmux {

/** A new key: the text for the customer, shown once, and the entry that is kept. */
struct IssuedKey
{
    /** Returns that many random bytes fit for secrets. */
    using RandomBytes = std::function<QByteArray(int count)>;

    QByteArray text; ///< "lk_<keyId>.<secret>"
    KeyEntry entry;

    /** Makes a key for the team, by default from the system's random numbers. */
    [[nodiscard]] static IssuedKey make(const QString &team,
                                        const RandomBytes &randomBytes = systemRandomBytes);

    /** Returns bytes of the operating system's generator. */
    [[nodiscard]] static QByteArray systemRandomBytes(int count);
};

} // namespace lacewingmux
