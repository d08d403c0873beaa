#pragma once

#include <QByteArray>
#include <QString>

#include <vector>

namespace lacewingmux {

/** A request of an operator, as its endpoint's handler gets it. */
struct OperatorRequest
{
    std::vector<QString> arguments; ///< what stood in the places of "*" in the endpoint's path
    QByteArray body;
};

} // namespace lacewingmux
