#pragma once

#include "lacewingmux_config/keys/KeyEntry.h"
#include "lacewingmux_config/keys/KeyVerdict.h"

#include <QByteArray>
#include <QHash>
#include <QJsonObject>
#include <QString>
#include <QStringList>

#include <cstdint>
#include <vector>

namespace lacewingmux {

/**
    All keys of all teams under one revision, immutable. Handed to the traffic threads as
    std::shared_ptr<const KeyRing>.

    A key's text is "lk_<keyId>.<secret>"; the id is public, the secret has 256 random bits and is
    kept as a salted SHA-256 digest alone, which suffices for random secrets.
*/
class KeyRing
{
public:
    static constexpr const char *textPrefix = "lk_";

    KeyRing() = default;

    /** Reads {"keys": [...]}; throws ConfigurationInvalid. */
    KeyRing(std::uint64_t ringRevision, const QJsonObject &document);

    /** Returns the revision; 0 means that no keys are known yet. */
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return this->ringRevision;
    }

    /** Tells whose key it is. The time taken doesn't depend on how much of a secret is right. */
    [[nodiscard]] KeyVerdict authenticate(const QByteArray &presentedKey) const;

    /** Tells whether the key is accepted; for work that was accepted under an earlier revision. */
    [[nodiscard]] bool accepts(const QString &keyId) const;

    /** Returns the keys, in the order of their ids. */
    [[nodiscard]] std::vector<KeyEntry> entries() const;

    /** Returns the ids of keys that the earlier ring accepted and this one doesn't. */
    [[nodiscard]] QStringList withdrawnSince(const KeyRing &earlier) const;

    /** Returns the document with one key more. */
    [[nodiscard]] QJsonObject documentWith(const KeyEntry &added) const;

    /** Returns the document with the key withdrawn; throws ConfigurationInvalid if unknown. */
    [[nodiscard]] QJsonObject documentWithout(const QString &keyId) const;

    /** Returns the salted digest of a secret. */
    [[nodiscard]] static QByteArray digest(const QByteArray &salt, const QByteArray &secret);

private:
    [[nodiscard]] static QJsonObject toDocument(const std::vector<KeyEntry> &entries);

    std::uint64_t ringRevision = 0;
    QHash<QString, KeyEntry> keys;
};

} // namespace lacewingmux
