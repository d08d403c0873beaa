#pragma once

#include "lacewingmux_gateway/http/DecodeState.h"
#include "lacewingmux_gateway/http/HttpResponseHead.h"

#include <memory>

namespace lacewingmux {

/**
    Decodes one HTTP/1.1 response as its bytes arrive, with Boost.Beast's parser. Interim
    responses (1xx) are passed over.
*/
class ResponseDecoder
{
public:
    /** Makes a decoder for the answer to a request; an answer to HEAD has no body. */
    explicit ResponseDecoder(bool answersHead);
    ~ResponseDecoder();
    ResponseDecoder(const ResponseDecoder &) = delete;
    ResponseDecoder &operator=(const ResponseDecoder &) = delete;

    /** Adds bytes that have arrived. Bytes after the end of the response stay over. */
    void append(const QByteArray &bytes);

    /** Notes that the connection was closed in order, which ends a body without a length. */
    void appendEnd();

    [[nodiscard]] DecodeState state() const noexcept
    {
        return this->currentState;
    }

    /** Returns the head; meaningful from state Body on. */
    [[nodiscard]] const HttpResponseHead &head() const;

    /** Returns and forgets the bytes of the body that have been decoded. */
    [[nodiscard]] QByteArray takeBody();

    /** Returns and forgets the bytes that came behind the response. */
    [[nodiscard]] QByteArray takeRest();

private:
    class Parser;

    void startNext();
    void decode();
    void noteProgress();

    bool headOnly;
    QByteArray pending;
    DecodeState currentState = DecodeState::Empty;
    std::unique_ptr<Parser> parser;
};

} // namespace lacewingmux
