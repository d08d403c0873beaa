#pragma once

#include <QByteArray>
#include <QString>

#include <optional>

namespace lacewingmux {

/**
    The text form of a caller's key: "lk_<key id>.<secret>".

    The key id is public and names the key in lists, logs and withdrawals; the secret is 256 random
    bits and is stored nowhere.
*/
struct KeyText
{
    QString keyId;     ///< 16 hexadecimal digits
    QByteArray secret; ///< 43 characters of URL-safe base64

    /** Returns a new key from the system's random source. */
    [[nodiscard]] static KeyText generate();

    /** Parses a presented key; returns nothing for any other text. */
    [[nodiscard]] static std::optional<KeyText> parse(const QByteArray &presented);

    [[nodiscard]] QByteArray toText() const;
};

} // namespace lacewingmux
