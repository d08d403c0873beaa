#include "lacewingmux_gateway/replicas/ResponseAttribution.h"

namespace lacewingmux {

ResponseAttribution attributeResponse(QByteArrayView requestId, QByteArrayView responseId,
                                      bool isSuccess, bool carriedEarlierRequests)
{
    if (!responseId.isEmpty())
        return responseId == requestId ? ResponseAttribution::Own : ResponseAttribution::Other;
    // A replica that ran the request has read its id, and names it.
    if (isSuccess && !requestId.isEmpty())
        return ResponseAttribution::Other;
    return carriedEarlierRequests ? ResponseAttribution::Unknown : ResponseAttribution::Own;
}

} // namespace lacewingmux
