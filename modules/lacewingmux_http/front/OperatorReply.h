#pragma once

#include <QJsonObject>

#include <functional>

namespace lacewingmux {

class LacewingmuxError;

/** Takes the answer to an operator's request; one of the two is called, once, now or later. */
struct OperatorReply
{
    std::function<void(const QJsonObject &answer)> succeed;
    std::function<void(const LacewingmuxError &error)> fail;
};

} // namespace lacewingmux
