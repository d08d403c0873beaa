#include "lacewingmux_http/front/ForwardedHeaders.h"

#include <QList>

#include <algorithm>
#include <array>

namespace lacewingmux {

namespace {

constexpr std::array unforwardedHeaders{
        "connection",      "keep-alive",        "proxy-connection", "te",     "trailer",
        "upgrade",         "transfer-encoding", "content-length",   "expect", "host",
        "accept-encoding", "http2-settings",    "idempotency-key"};

} // namespace

std::vector<HttpHeader> forwardedHeaders(const std::vector<HttpHeader> &headers)
{
    QByteArrayList connectionOptions;
    for (const HttpHeader &header : headers) {
        if (header.name.compare("connection", Qt::CaseInsensitive) == 0) {
            for (const QByteArray &option : header.value.split(','))
                connectionOptions.push_back(option.trimmed().toLower());
        }
    }
    std::vector<HttpHeader> kept;
    for (const HttpHeader &header : headers) {
        const QByteArray name = header.name.toLower();
        const bool unforwarded = std::any_of(unforwardedHeaders.begin(), unforwardedHeaders.end(),
                                             [&name](const char *other) { return name == other; });
        if (!unforwarded && !connectionOptions.contains(name) && !name.startsWith("lacewingmux-"))
            kept.push_back(header);
    }
    return kept;
}

} // namespace lacewingmux
