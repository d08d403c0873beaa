#pragma once

#include "lacewingmux_gateway/http/DecodeState.h"
#include "lacewingmux_gateway/http/HttpLimits.h"
#include "lacewingmux_gateway/http/HttpRequest.h"

#include <memory>

namespace lacewingmux {

/**
    Decodes the requests of one connection, one after another, with Boost.Beast's parser.

    Strict where framing could be read in two ways: repeated or conflicting lengths, white space
    before a colon, bare line feeds, codings other than chunked, more than one Host or none are
    malformed. Folded lines are unfolded. After
    a failure nothing on the connection can be decoded any more.
*/
class RequestDecoder
{
public:
    explicit RequestDecoder(const HttpLimits &httpLimits);
    ~RequestDecoder();
    RequestDecoder(const RequestDecoder &) = delete;
    RequestDecoder &operator=(const RequestDecoder &) = delete;

    /** Adds bytes that have arrived, and decodes as far as the end of the present request. */
    void append(const QByteArray &bytes);

    [[nodiscard]] DecodeState state() const noexcept
    {
        return this->currentState;
    }

    /** Tells whether the caller waits for "100 Continue" before it sends the body. */
    [[nodiscard]] bool expectsContinue() const;

    /** Returns the request, once complete, and goes on to the next one. */
    [[nodiscard]] HttpRequest take();

    /** Returns how many bytes wait that belong to later requests or to the present one. */
    [[nodiscard]] qsizetype pendingBytes() const noexcept
    {
        return this->pending.size();
    }

private:
    class Parser;

    void decode();
    void startNext();
    [[nodiscard]] bool hasSoundFields() const;

    HttpLimits limits;
    QByteArray pending;
    DecodeState currentState = DecodeState::Empty;
    std::unique_ptr<Parser> parser;
};

} // namespace lacewingmux
