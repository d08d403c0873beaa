#include "lacewingmux_config/keys/KeyRecord.h"

#include "lacewingmux_core/hashing/ConstantTimeComparison.h"

#include <QCryptographicHash>
#include <QRandomGenerator>

#include <array>

namespace lacewingmux {

namespace {

QByteArray digestOf(const QByteArray &salt, const QByteArray &secret)
{
    return QCryptographicHash::hash(salt + secret, QCryptographicHash::Sha256);
}

QByteArray randomSalt()
{
    std::array<quint32, 4> words{};
    QRandomGenerator::system()->fillRange(words.data(), static_cast<qsizetype>(words.size()));
    return QByteArray(reinterpret_cast<const char *>(words.data()), sizeof(words));
}

} // namespace

KeyRecord KeyRecord::make(const QString &keyId, const QByteArray &secret, const QString &team,
                          std::chrono::system_clock::time_point issued)
{
    const QByteArray salt = randomSalt();
    return KeyRecord{keyId, team, salt, digestOf(salt, secret), issued, std::nullopt};
}

bool KeyRecord::matches(const QByteArray &secret) const
{
    return equalInConstantTime(this->digest, digestOf(this->salt, secret));
}

} // namespace lacewingmux
