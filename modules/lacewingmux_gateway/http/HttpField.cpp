#include "lacewingmux_gateway/http/HttpField.h"

#include <algorithm>

namespace lacewingmux {

QByteArray fieldValue(const HttpFields &fields, QByteArrayView name)
{
    const auto found = std::find_if(fields.begin(), fields.end(), [name](const HttpField &field) {
        return sameFieldName(field.name, name);
    });
    return found == fields.end() ? QByteArray() : found->value;
}

bool sameFieldName(QByteArrayView left, QByteArrayView right) noexcept
{
    return left.size() == right.size() && left.compare(right, Qt::CaseInsensitive) == 0;
}

bool listHasToken(QByteArrayView value, QByteArrayView token) noexcept
{
    qsizetype start = 0;
    while (start <= value.size()) {
        qsizetype end = start;
        while (end < value.size() && value[end] != ',')
            ++end;
        if (value.sliced(start, end - start).trimmed().compare(token, Qt::CaseInsensitive) == 0)
            return true;
        start = end + 1;
    }
    return false;
}

} // namespace lacewingmux
