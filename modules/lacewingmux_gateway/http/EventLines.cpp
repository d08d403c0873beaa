#include "lacewingmux_gateway/http/EventLines.h"

#include "lacewingmux_gateway/http/StatusLine.h"

#include <algorithm>
#include <array>

namespace lacewingmux {

namespace {

/** Tells whether the line is empty, a comment or a field of the format. */
bool isEventLine(QByteArrayView line)
{
    static constexpr std::array<QByteArrayView, 4> fieldNames{"data", "event", "id", "retry"};
    const qsizetype colon = line.indexOf(':');
    if (line.isEmpty() || colon == 0)
        return true;
    const QByteArrayView name = colon < 0 ? line : line.first(colon);
    return std::ranges::find(fieldNames, name) != fieldNames.end();
}

} // namespace

bool holdsResponseHead(QByteArrayView event)
{
    const qsizetype statusLine = findStatusLine(event);
    if (statusLine < 0)
        return false;
    if (statusLine == 0 || event[statusLine - 1] == '\n')
        return true;
    qsizetype lineFeed = event.indexOf('\n', statusLine);
    while (lineFeed >= 0) {
        const qsizetype start = lineFeed + 1;
        lineFeed = event.indexOf('\n', start);
        QByteArrayView line = event.sliced(start, (lineFeed < 0 ? event.size() : lineFeed) - start);
        if (line.endsWith('\r'))
            line.chop(1);
        if (!isEventLine(line))
            return true;
    }
    return false;
}

} // namespace lacewingmux
