#pragma once

#include <QByteArray>

#include <vector>

namespace lacewingmux {

/** One header field of an HTTP message, with its name as it came. */
struct HttpField
{
    QByteArray name;
    QByteArray value;
};

using HttpFields = std::vector<HttpField>;

/** Returns the value of the first field with the name, whatever its case; null when absent. */
[[nodiscard]] QByteArray fieldValue(const HttpFields &fields, QByteArrayView name);

/** Tells whether two field names are the same; field names have no case. */
[[nodiscard]] bool sameFieldName(QByteArrayView left, QByteArrayView right) noexcept;

/** Tells whether the comma-separated list in the value has the token, whatever its case. */
[[nodiscard]] bool listHasToken(QByteArrayView value, QByteArrayView token) noexcept;

} // namespace lacewingmux
