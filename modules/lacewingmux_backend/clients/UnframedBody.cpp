#include "lacewingmux_backend/clients/UnframedBody.h"

#include "lacewingmux_backend/clients/JsonBody.h"
#include "lacewingmux_gateway/http/HttpResponseHead.h"
#include "lacewingmux_gateway/http/ResponseSearch.h"

namespace lacewingmux {

namespace {

bool namesRequest(const HttpResponseHead &head)
{
    return !fieldValue(head.fields, "Lacewingmux-Request-Id").isEmpty();
}

} // namespace

const char *unframedBodyFault(const QByteArray &contentType, const QByteArray &body)
{
    if (body.isEmpty())
        return "the answer ended behind its head";
    if (isBrokenJson(contentType, body))
        return "the answer's JSON body is not whole";
    if (findResponse(body, namesRequest) >= 0)
        return "another answer follows in the body";
    return nullptr;
}

} // namespace lacewingmux
