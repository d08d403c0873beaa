#include "lacewingmux_config/keys/IssuedKey.h"

#include "lacewingmux_config/keys/KeyRing.h"

#include <QRandomGenerator>

#include <vector>

namespace lacewingmux {

namespace {

constexpr int keyIdBytes = 8;
constexpr int saltBytes = 16;
constexpr int secretBytes = 32; ///< 256 bits

} // namespace

IssuedKey IssuedKey::make(const QString &team, const RandomBytes &randomBytes)
{
    const QByteArray keyId = randomBytes(keyIdBytes).toHex();
    const QByteArray secret =
            randomBytes(secretBytes)
                    .toBase64(QByteArray::Base64UrlEncoding | QByteArray::OmitTrailingEquals);
    IssuedKey issued;
    issued.text = KeyRing::textPrefix + keyId + '.' + secret;
    issued.entry.keyId = QString::fromLatin1(keyId);
    issued.entry.team = team;
    issued.entry.salt = randomBytes(saltBytes);
    issued.entry.digest = KeyRing::digest(issued.entry.salt, secret);
    return issued;
}

QByteArray IssuedKey::systemRandomBytes(int count)
{
    std::vector<quint32> words(static_cast<std::size_t>(count) / sizeof(quint32) + 1);
    QRandomGenerator::system()->fillRange(words.data(), static_cast<qsizetype>(words.size()));
    return {reinterpret_cast<const char *>(words.data()), count};
}

} // namespace lacewingmux
