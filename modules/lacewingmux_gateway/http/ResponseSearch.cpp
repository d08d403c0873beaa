#include "lacewingmux_gateway/http/ResponseSearch.h"

#include "lacewingmux_gateway/http/ResponseDecoder.h"

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

bool isWithinHead(DecodeState state)
{
    return state < DecodeState::Body;
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

} // namespace

qsizetype findResponse(const QByteArray &bytes,
                       const std::function<bool(const HttpResponseHead &)> &predicate,
                       qsizetype from)
{
    qsizetype start = bytes.indexOf(httpVersionPrefix, from);
    for (int searched = 0; start >= 0 && searched < maximumSearchedResponses; ++searched) {
        ResponseDecoder decoder(false);
        decoder.append(bytes.mid(start, searchedHeadBytes));
        const bool hasHead =
                decoder.state() == DecodeState::Body || decoder.state() == DecodeState::Complete;
        if (hasHead && predicate(decoder.head()))
            return start;
        start = bytes.indexOf(httpVersionPrefix, start + 1);
    }
    return -1;
}

bool endsWithinHead(const QByteArray &bytes, const QByteArray &following)
{
    const auto isCutAt = [&](qsizetype position) {
        const QByteArray head = bytes.mid(position);
        return isWithinHead(decodedState(head))
               && decodedState(head + following) <= DecodeState::Complete;
    };
    const qsizetype from = std::max<qsizetype>(0, bytes.size() - searchedHeadBytes);
    qsizetype start = bytes.indexOf(httpVersionPrefix, from);
    for (int searched = 0; start >= 0 && searched < maximumSearchedResponses; ++searched) {
        if (isCutAt(start))
            return true;
        start = bytes.indexOf(httpVersionPrefix, start + 1);
    }
    const qsizetype cutPrefix = findCutPrefix(bytes);
    return cutPrefix >= 0 && isCutAt(cutPrefix);
}

} // namespace lacewingmux
