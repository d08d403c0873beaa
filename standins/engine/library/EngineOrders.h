#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <QString>

#include <cstdint>

namespace lacewingmux::standin {

/** The order book of an engine stand-in: what it was told to load or be, and by which fencing. */
class EngineOrders
{
public:
    /** Takes whether orders with an old fencing number are refused. */
    explicit EngineOrders(bool refuseOldFencing);

    /** Takes note of the order; returns false when its fencing number is refused. */
    bool accept(const QJsonObject &order);

    /** Returns {"model", "adapter", "version", "role", "highestFencing", "orders"}. */
    [[nodiscard]] QJsonObject toJson() const;

private:
    bool checksFencing;
    std::int64_t highestFencing = 0;
    QJsonObject loaded;
    QJsonArray accepted;
};

} // namespace lacewingmux::standin
