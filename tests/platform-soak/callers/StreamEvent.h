#pragma once

#include <QByteArray>

#include <vector>

namespace lacewingmux::soak {

/** One event of a stand-in replica's stream. */
struct StreamEvent
{
    int number = 0; ///< 0 if the text is no event of a stand-in replica
    QByteArray request;
    QByteArray run;
    int count = 0;   ///< of the whole stream
    QByteArray text; ///< as it came, without the empty line

    /** Returns the text that a stand-in replica writes for an event, without the empty line. */
    [[nodiscard]] static QByteArray textOf(const QByteArray &request, const QByteArray &run,
                                           int number, int count, int padding);

    /** Parses the whole events of a body; a rest that is no event counts as one with number 0. */
    [[nodiscard]] static std::vector<StreamEvent> parseBody(const QByteArray &body);

    /** Returns the number of the last whole event; 0 if there is none. */
    [[nodiscard]] static int lastNumber(const QByteArray &body);
};

} // namespace lacewingmux::soak
