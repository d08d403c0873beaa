#pragma once

#include "lacewingmux_program/requests/ResponseSink.h"

#include <QByteArray>

#include <cstdint>
#include <vector>

namespace lacewingmux {

/**
    Puts together the answer of one attempt at an owner, and never shows a caller parts of two.

    Pieces are taken in their sequence alone. A whole answer is shown at its end, a stream from
    its first chunk on; until something is shown, another attempt may take this one's place.
*/
class AnswerAssembly
{
public:
    explicit AnswerAssembly(bool streaming) noexcept
        : stream(streaming)
    { }

    /** Forgets what has come, for another attempt. Nothing may have been shown. */
    void restart();

    void begin(int status, const std::vector<HttpHeader> &answerHeaders);

    /** Takes a piece; returns false when one before it is missing. A piece that came is ignored. */
    [[nodiscard]] bool chunk(std::uint32_t sequence, const QByteArray &bytes,
                             const ResponseSink &sink);

    /** Takes the end; returns false, with nothing shown of it, when pieces are missing. */
    [[nodiscard]] bool end(std::uint32_t chunkCount, const ResponseSink &sink);

    /** Tells whether the caller has seen a part of the answer. */
    [[nodiscard]] bool hasShown() const noexcept
    {
        return this->shown;
    }

private:
    void show(const ResponseSink &sink);

    bool stream;
    bool begun = false;
    bool shown = false;
    int httpStatus = 0;
    std::vector<HttpHeader> headers;
    QByteArray body;
    std::uint32_t nextSequence = 0;
};

} // namespace lacewingmux
