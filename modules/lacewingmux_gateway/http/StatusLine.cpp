#include "lacewingmux_gateway/http/StatusLine.h"

namespace lacewingmux {

namespace {

constexpr QByteArrayView versionPrefix = "HTTP/1.";
constexpr qsizetype statusOffset = versionPrefix.size() + 2; // behind the minor version and a space
constexpr qsizetype statusDigits = 3;

bool areDigits(QByteArrayView text)
{
    for (const char character : text) {
        if (character < '0' || character > '9')
            return false;
    }
    return true;
}

bool startsWithStatus(QByteArrayView text)
{
    return text.size() >= statusOffset + statusDigits && text[statusOffset - 1] == ' '
           && areDigits(text.sliced(versionPrefix.size(), 1))
           && areDigits(text.sliced(statusOffset, statusDigits));
}

} // namespace

qsizetype findStatusLine(QByteArrayView text)
{
    qsizetype start = text.indexOf(versionPrefix);
    while (start >= 0 && !startsWithStatus(text.sliced(start)))
        start = text.indexOf(versionPrefix, start + 1);
    return start;
}

} // namespace lacewingmux
