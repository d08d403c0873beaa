#include "lacewingmux_backend/clients/ForwardedHeaders.h"

#include <algorithm>
#include <array>

namespace lacewingmux {

namespace {

constexpr std::array hopByHopOrFraming{
        "connection", "keep-alive", "proxy-authenticate", "proxy-connection", "te",
        "trailer",    "upgrade",    "transfer-encoding",  "content-length"};
constexpr std::array credentials{"authorization", "proxy-authorization", "cookie", "x-api-key",
                                 "api-key",       "x-auth-token"};
constexpr std::array setByHttpExchange{"host", "accept-encoding", "user-agent", "expect"};

bool isOneOf(const auto &names, const QByteArray &name)
{
    return std::any_of(names.begin(), names.end(), [&name](const char *known) {
        return name.compare(known, Qt::CaseInsensitive) == 0;
    });
}

} // namespace

bool isForwardedToBackend(const QByteArray &name)
{
    return !isOneOf(hopByHopOrFraming, name) && !isOneOf(credentials, name)
           && !isOneOf(setByHttpExchange, name);
}

bool isForwardedToCaller(const QByteArray &name)
{
    return !isOneOf(hopByHopOrFraming, name)
           && name.compare("set-cookie", Qt::CaseInsensitive) != 0;
}

} // namespace lacewingmux
