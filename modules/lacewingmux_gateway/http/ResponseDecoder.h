#pragma once

#include "lacewingmux_gateway/http/DecodeState.h"
#include "lacewingmux_gateway/http/HttpResponseHead.h"

#include <memory>

namespace lacewingmux {

/**
    Decodes one HTTP/1.1 response incrementally with Boost.Beast's parser. Interim responses (1xx)
    are skipped.
*/
class ResponseDecoder
{
public:
    /** Creates a decoder for the response to a request; a response to HEAD has no body. */
    explicit ResponseDecoder(bool isHeadRequestResponse);
    ~ResponseDecoder();
    ResponseDecoder(const ResponseDecoder &) = delete;
    ResponseDecoder &operator=(const ResponseDecoder &) = delete;

    /** Appends received bytes. Bytes after the end of the response are kept unparsed. */
    void append(const QByteArray &bytes);

    /** Signals an orderly close of the connection, which ends a body without a length. */
    void appendEnd();

    [[nodiscard]] DecodeState state() const noexcept
    {
        return this->currentState;
    }

    /** Returns the head; valid from state Body on. */
    [[nodiscard]] const HttpResponseHead &head() const;

    /** Returns and clears the decoded bytes of the body. */
    [[nodiscard]] QByteArray takeBody();

    /** Returns and clears the bytes received after the end of the response. */
    [[nodiscard]] QByteArray takeTrailingBytes();

private:
    class Parser;

    void startNext();
    void decode();
    void updateState();

    bool headOnly;
    /** Tells whether there are more bytes around the parts of the body than any framing needs. */
    [[nodiscard]] bool hasExcessiveFraming() const;

    int informationalCount = 0; ///< responses before the final one
    qsizetype decodedBytes = 0; ///< of the current response
    QByteArray pending;
    DecodeState currentState = DecodeState::Empty;
    std::unique_ptr<Parser> parser;
};

} // namespace lacewingmux
