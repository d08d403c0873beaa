#pragma once

#include "lacewingmux_gateway/http/DecodeState.h"
#include "lacewingmux_gateway/http/HttpLimits.h"
#include "lacewingmux_gateway/http/HttpRequest.h"

#include <memory>

namespace lacewingmux {

/**
    Decodes the consecutive requests of one connection with Boost.Beast's parser.

    Rejects ambiguous framing: repeated or conflicting lengths, white space before a colon, bare
    line feeds, transfer codings other than chunked, and a missing or repeated Host field are
    malformed. Folded lines are unfolded. After a failure, nothing more on the connection can be
    decoded.
*/
class RequestDecoder
{
public:
    explicit RequestDecoder(const HttpLimits &httpLimits);
    ~RequestDecoder();
    RequestDecoder(const RequestDecoder &) = delete;
    RequestDecoder &operator=(const RequestDecoder &) = delete;

    /** Sets the limits for the next requests. Of a request whose head is being received, it only
        raises them. */
    void setLimits(const HttpLimits &httpLimits);

    /** Appends received bytes and decodes up to the end of the current request. */
    void append(const QByteArray &bytes);

    [[nodiscard]] DecodeState state() const noexcept
    {
        return this->currentState;
    }

    /** Tells whether the caller waits for "100 Continue" before sending the body. */
    [[nodiscard]] bool expectsContinue() const;

    /** Returns the complete request and starts decoding the next one. */
    [[nodiscard]] HttpRequest take();

    /** Returns the number of received bytes, of this request or later ones, not yet decoded. */
    [[nodiscard]] qsizetype pendingBytes() const noexcept
    {
        return this->pending.size();
    }

    /** Returns the bytes that the decoder keeps, of the current request's body or not yet decoded.
     */
    [[nodiscard]] qsizetype bufferedBytes() const;

    /** Drops all that has been received; nothing more on the connection can be decoded. */
    void discard();

private:
    class Parser;

    void decode();
    void startNext();
    void applyRequestLimits();
    [[nodiscard]] bool hasValidFields() const;

    HttpLimits limits;
    HttpLimits requestLimits; ///< of the current request
    QByteArray pending;
    DecodeState currentState = DecodeState::Empty;
    std::unique_ptr<Parser> parser;
};

} // namespace lacewingmux
