#include "engine/library/EngineFaults.h"

namespace lacewingmux::standin {

EngineFaults EngineFaults::fromJson(const QJsonObject &json)
{
    EngineFaults faults;
    faults.hang = json.value(QStringLiteral("hang")).toBool();
    faults.loseAnswer = json.value(QStringLiteral("loseAnswer")).toBool();
    faults.duplicateAnswer = json.value(QStringLiteral("duplicateAnswer")).toBool();
    faults.swapAnswers = json.value(QStringLiteral("swapAnswers")).toBool();
    faults.slowFactor = json.value(QStringLiteral("slowFactor")).toInt(1);
    faults.cutAfterTokens = json.value(QStringLiteral("cutAfterTokens")).toInt();
    faults.failOrders = json.value(QStringLiteral("failOrders")).toInt();
    faults.loseOrderAnswers = json.value(QStringLiteral("loseOrderAnswers")).toInt();
    faults.delay = std::chrono::milliseconds(json.value(QStringLiteral("delayMs")).toInt());
    faults.crashOnText = json.value(QStringLiteral("crashOnText")).toString();
    return faults;
}

} // namespace lacewingmux::standin
