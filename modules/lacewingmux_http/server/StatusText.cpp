#include "lacewingmux_http/server/StatusText.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace lacewingmux {

namespace {

struct StatusName
{
    int httpStatus;
    const char *text;
};

constexpr std::array<StatusName, 30> statusNames{{{200, "OK"},
                                                  {201, "Created"},
                                                  {202, "Accepted"},
                                                  {204, "No Content"},
                                                  {206, "Partial Content"},
                                                  {301, "Moved Permanently"},
                                                  {302, "Found"},
                                                  {303, "See Other"},
                                                  {304, "Not Modified"},
                                                  {307, "Temporary Redirect"},
                                                  {308, "Permanent Redirect"},
                                                  {400, "Bad Request"},
                                                  {401, "Unauthorized"},
                                                  {402, "Payment Required"},
                                                  {403, "Forbidden"},
                                                  {404, "Not Found"},
                                                  {405, "Method Not Allowed"},
                                                  {408, "Request Timeout"},
                                                  {409, "Conflict"},
                                                  {410, "Gone"},
                                                  {413, "Payload Too Large"},
                                                  {415, "Unsupported Media Type"},
                                                  {422, "Unprocessable Entity"},
                                                  {429, "Too Many Requests"},
                                                  {499, "Client Closed Request"},
                                                  {500, "Internal Server Error"},
                                                  {501, "Not Implemented"},
                                                  {502, "Bad Gateway"},
                                                  {503, "Service Unavailable"},
                                                  {504, "Gateway Timeout"}}};

} // namespace

const char *statusText(int httpStatus)
{
    const auto *const found = std::find_if(
            statusNames.begin(), statusNames.end(),
            [httpStatus](const StatusName &name) { return name.httpStatus == httpStatus; });
    return found == statusNames.end() ? "Status" : found->text;
}

std::vector<HttpHeader> errorHeaders(const LacewingmuxError &error)
{
    std::vector<HttpHeader> headers{{"Content-Type", "application/json"}};
    if (error.retryAfter().count() > 0) {
        const auto wait = std::chrono::ceil<std::chrono::seconds>(error.retryAfter());
        headers.push_back({"Retry-After", QByteArray::number(qint64(wait.count()))});
    }
    return headers;
}

} // namespace lacewingmux
