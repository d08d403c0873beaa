#pragma once

#include <QByteArray>
#include <QString>

namespace lacewingmux {

/** What is kept of one key: never its secret. A withdrawn key keeps its id and team alone. */
struct KeyEntry
{
    QString keyId;
    QString team;
    QByteArray salt;
    QByteArray digest; ///< SHA-256 of the salt followed by the secret
    bool withdrawn = false;

    friend bool operator==(const KeyEntry &, const KeyEntry &) = default;
};

} // namespace lacewingmux
