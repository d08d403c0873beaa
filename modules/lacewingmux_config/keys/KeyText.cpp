#include "lacewingmux_config/keys/KeyText.h"

#include <QRandomGenerator>

#include <algorithm>
#include <array>

namespace lacewingmux {

namespace {

const QByteArray prefix = QByteArrayLiteral("lk_");
constexpr int keyIdDigits = 16;
constexpr int secretLength = 43;
constexpr std::size_t secretWords = 8; ///< of 32 bits

bool isHexadecimal(const QByteArray &text)
{
    return std::all_of(text.begin(), text.end(), [](char letter) {
        return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
    });
}

} // namespace

KeyText KeyText::generate()
{
    std::array<quint32, secretWords> words{};
    QRandomGenerator *random = QRandomGenerator::system();
    random->fillRange(words.data(), static_cast<qsizetype>(words.size()));
    const QByteArray bytes(reinterpret_cast<const char *>(words.data()), sizeof(words));
    return KeyText{QString::number(random->generate64(), 16).rightJustified(keyIdDigits, u'0'),
                   bytes.toBase64(QByteArray::Base64UrlEncoding | QByteArray::OmitTrailingEquals)};
}

std::optional<KeyText> KeyText::parse(const QByteArray &presented)
{
    if (presented.size() != prefix.size() + keyIdDigits + 1 + secretLength)
        return std::nullopt;
    if (!presented.startsWith(prefix) || presented.at(prefix.size() + keyIdDigits) != '.')
        return std::nullopt;
    const QByteArray keyId = presented.mid(prefix.size(), keyIdDigits);
    if (!isHexadecimal(keyId))
        return std::nullopt;
    return KeyText{QString::fromLatin1(keyId), presented.right(secretLength)};
}

QByteArray KeyText::toText() const
{
    return prefix + this->keyId.toLatin1() + '.' + this->secret;
}

} // namespace lacewingmux
