#include "lacewingmux_gateway/http/ResponseSearch.h"

#include "lacewingmux_gateway/http/ResponseDecoder.h"
#include "lacewingmux_gateway/http/StatusLine.h"

#include <algorithm>

namespace lacewingmux {

namespace {

constexpr QByteArrayView httpVersionPrefix = "HTTP/1.";
constexpr int maximumSearchedResponses = 64;
constexpr qsizetype searchedHeadBytes = 4096;

/** Returns how the decoder reads the bytes as the beginning of a response. */
DecodeState decodedState(const QByteArray &bytes)
{
    ResponseDecoder decoder(false);
    decoder.append(bytes);
    return decoder.state();
}

/** Tells whether the bytes may be the beginning of a response, whose version may be cut. */
bool startsLikeResponse(QByteArrayView bytes)
{
    const qsizetype length = std::min(bytes.size(), httpVersionPrefix.size());
    return bytes.first(length) == httpVersionPrefix.first(length);
}

/** Tells whether the bytes are the beginning of a head, and those that follow continue it. */
bool isCutHead(const QByteArray &bytes, const QByteArray &following)
{
    const QByteArray text = bytes + following;
    return decodedState(bytes) < DecodeState::Body && startsLikeResponse(text)
           && decodedState(text) <= DecodeState::Complete;
}

/** Returns the position at which the bytes end with a part of the version prefix; -1 if they do
    not. */
qsizetype findCutPrefix(const QByteArray &bytes)
{
    for (qsizetype length = httpVersionPrefix.size() - 1; length > 0; --length) {
        if (bytes.endsWith(httpVersionPrefix.first(length)))
            return bytes.size() - length;
    }
    return -1;
}

/** Returns the position, at or behind the given one, of the next status line; -1 if there is
    none. */
qsizetype nextStatusLine(const QByteArray &bytes, qsizetype from)
{
    const qsizetype start = std::min(from, bytes.size());
    const qsizetype found = findStatusLine(QByteArrayView(bytes).sliced(start));
    return found < 0 ? -1 : start + found;
}

} // namespace

qsizetype findResponse(const QByteArray &bytes,
                       const std::function<bool(const HttpResponseHead &)> &predicate,
                       qsizetype from)
{
    qsizetype start = nextStatusLine(bytes, from);
    for (int searched = 0; start >= 0 && searched < maximumSearchedResponses; ++searched) {
        ResponseDecoder decoder(false);
        decoder.append(bytes.mid(start, searchedHeadBytes));
        const bool hasHead =
                decoder.state() == DecodeState::Body || decoder.state() == DecodeState::Complete;
        if (hasHead && predicate(decoder.head()))
            return start;
        start = nextStatusLine(bytes, start + 1);
    }
    return -1;
}

qsizetype findCutHead(const QByteArray &bytes, const QByteArray &following)
{
    const qsizetype cutPrefix = findCutPrefix(bytes);
    if (cutPrefix >= 0 && isCutHead(bytes.mid(cutPrefix), following))
        return cutPrefix;
    const qsizetype first = std::max<qsizetype>(0, bytes.size() - searchedHeadBytes);
    qsizetype start = bytes.lastIndexOf(httpVersionPrefix);
    for (int searched = 0; start >= first && searched < maximumSearchedResponses; ++searched) {
        if (isCutHead(bytes.mid(start), following))
            return start;
        start = start > 0 ? bytes.lastIndexOf(httpVersionPrefix, start - 1) : -1;
    }
    return -1;
}

} // namespace lacewingmux
