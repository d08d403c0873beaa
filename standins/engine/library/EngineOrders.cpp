#include "engine/library/EngineOrders.h"

#include <algorithm>

namespace lacewingmux::standin {

EngineOrders::EngineOrders(bool refuseOldFencing)
    : checksFencing(refuseOldFencing)
{ }

bool EngineOrders::accept(const QJsonObject &order)
{
    const std::int64_t fencing = order.value(QStringLiteral("fencing")).toInteger();
    if (this->checksFencing && fencing < this->highestFencing)
        return false;
    this->highestFencing = std::max(this->highestFencing, fencing);
    this->accepted.append(order);

    const QString kind = order.value(QStringLiteral("order")).toString();
    if (kind == QStringLiteral("loadModel"))
        this->loaded.insert(QStringLiteral("model"), order.value(QStringLiteral("name")));
    else if (kind == QStringLiteral("loadAdapter"))
        this->loaded.insert(QStringLiteral("adapter"), order.value(QStringLiteral("name")));
    else if (kind == QStringLiteral("loadVersion"))
        this->loaded.insert(QStringLiteral("version"), order.value(QStringLiteral("name")));
    else if (kind == QStringLiteral("changeRole"))
        this->loaded.insert(QStringLiteral("role"), order.value(QStringLiteral("name")));
    return true;
}

QJsonObject EngineOrders::toJson() const
{
    QJsonObject json = this->loaded;
    json.insert(QStringLiteral("highestFencing"), static_cast<qint64>(this->highestFencing));
    json.insert(QStringLiteral("orders"), this->accepted);
    return json;
}

} // namespace lacewingmux::standin
