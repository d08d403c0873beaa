#include "lacewingmux_gateway/http/ResponseSearch.h"

#include "lacewingmux_gateway/http/ResponseDecoder.h"

namespace lacewingmux {

namespace {

constexpr const char *httpVersionPrefix = "HTTP/1.";
constexpr int maximumSearchedResponses = 64;
constexpr qsizetype searchedHeadBytes = 4096;

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

} // namespace lacewingmux
