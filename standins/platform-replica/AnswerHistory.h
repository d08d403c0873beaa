#pragma once

#include <QByteArray>

namespace lacewingmux::standin {

/** What a connection's earlier answers leave for its later ones. */
struct AnswerHistory
{
    QByteArray earlier;        ///< the last whole answer
    QByteArray beforeNext;     ///< written in front of the next answer
    QByteArray later;          ///< written after a while, if no answer is under way then
    bool hadStrayCopy = false; ///< written while no request was known
    QByteArray behindNext;     ///< written behind the next whole answer
};

} // namespace lacewingmux::standin
