#pragma once

#include <QByteArray>

#include <vector>

namespace lacewingmux {

/** One header field of an HTTP message, with its name as received. */
struct HttpField
{
    QByteArray name;
    QByteArray value;
};

using HttpFields = std::vector<HttpField>;

/** Returns the value of the first field with the name, ignoring case; null when absent. */
[[nodiscard]] QByteArray fieldValue(const HttpFields &fields, QByteArrayView name);

/** Tells whether two field names are equal; field names are case-insensitive. */
[[nodiscard]] bool sameFieldName(QByteArrayView left, QByteArrayView right) noexcept;

/** Tells whether the comma-separated list contains the token, ignoring case. */
[[nodiscard]] bool listHasToken(QByteArrayView value, QByteArrayView token) noexcept;

} // namespace lacewingmux
