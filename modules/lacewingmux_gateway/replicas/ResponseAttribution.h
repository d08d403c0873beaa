#pragma once

#include <QByteArrayView>

#include <cstdint>

namespace lacewingmux {

/** The request to which a response on a connection belongs. */
enum class ResponseAttribution : std::uint8_t {
    Own,   ///< the request of the current exchange
    Other, ///< an earlier request; the response of the current exchange is still to come
    Unknown
};

/** Attributes a response by the request id that it names. Either id may be empty. A connection
    that has carried earlier requests may deliver late and repeated responses to them; responses
    without an id can then not be told apart. */
[[nodiscard]] ResponseAttribution attributeResponse(QByteArrayView requestId,
                                                    QByteArrayView responseId, bool isSuccess,
                                                    bool carriedEarlierRequests);

} // namespace lacewingmux
