#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <QString>

#include <cstdint>

namespace lacewingmux::standin {

/** Writes to the platform's store as the platform itself would, and tells the stand-in to fail. */
class StoreAdmin
{
public:
    explicit StoreAdmin(std::uint16_t storePort);

    /** Writes a key. Throws LacewingmuxError when the store does not take it. */
    void put(const QByteArray &key, const QByteArray &value) const;

    /** Sets all faults of the stand-in; an empty object ends them. */
    void setFaults(const QJsonObject &faults) const;

private:
    std::uint16_t port;
};

} // namespace lacewingmux::standin
