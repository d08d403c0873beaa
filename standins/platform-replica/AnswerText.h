#pragma once

#include <QByteArray>

#include <vector>

class QUrlQuery;

namespace lacewingmux::standin {

/** The bytes of an answer, in the parts in which they are written. */
struct AnswerText
{
    std::vector<QByteArray> parts;
    int eventsPerPart = 0;    ///< behind the first, which is the head; 0 for a plain answer
    bool endsAtClose = false; ///< nothing but the close of the connection marks its end

    /** What an answer is made of. */
    struct Source
    {
        QByteArray request;
        QByteArray run;
        QByteArray fields; ///< lines of further header fields
        bool closes = false;
        int resumedAfter = 0;
    };

    /** Makes the answer that the request's query asks for. */
    [[nodiscard]] static AnswerText make(const Source &source, const QUrlQuery &query);

    [[nodiscard]] QByteArray whole() const;
};

} // namespace lacewingmux::standin
