#pragma once

#include <QJsonObject>

namespace lacewingmux {

/** The answer of the store to one call. */
struct EtcdReply
{
    int status = 200;
    QJsonObject body;
    bool isWrite = false; ///< whether the call changed something, so that its reply may be lost
};

} // namespace lacewingmux
