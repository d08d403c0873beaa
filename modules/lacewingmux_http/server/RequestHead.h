#pragma once

#include <QByteArray>
#include <QtGlobal>

namespace lacewingmux {

/**
    What must be known of a request's head before the HTTP library parses it: how long the body
    is, and whether the message can be told from the next one without doubt.

    Qt's parser takes a malformed Content-Length for zero and the first of two that differ, so
    the check here comes first.
*/
struct RequestHead
{
    qint64 contentLength = 0;
    bool chunked = false;        ///< the body's length is not known beforehand
    bool expectContinue = false; ///< the caller waits for "100 Continue" before it sends the body
    bool keepAlive = true;
    bool chunkedAnswers = true; ///< false for HTTP/1.0, which has no chunked encoding

    /** Returns the length of the head at the start of the bytes, with its blank line; or 0. */
    [[nodiscard]] static qsizetype lengthIn(const QByteArray &bytes);

    /**
        Reads the framing fields of a whole head.

        Throws LacewingmuxError with ErrorKind::MalformedRequest when the length of the body is
        ambiguous or the request asks for another protocol.
    */
    [[nodiscard]] static RequestHead parse(const QByteArray &head);
};

} // namespace lacewingmux
