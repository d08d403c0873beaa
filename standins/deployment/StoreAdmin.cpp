#include "deployment/StoreAdmin.h"

#include "deployment/BlockingHttp.h"

#include <QJsonDocument>

namespace lacewingmux::standin {

StoreAdmin::StoreAdmin(std::uint16_t storePort)
    : port(storePort)
{ }

void StoreAdmin::put(const QByteArray &key, const QByteArray &value) const
{
    const QJsonObject body{{QStringLiteral("key"), QString::fromLatin1(key.toBase64())},
                           {QStringLiteral("value"), QString::fromLatin1(value.toBase64())}};
    postJson(loopbackUrl(this->port, QStringLiteral("/v3/kv/put")), body);
}

void StoreAdmin::setFaults(const QJsonObject &faults) const
{
    postJson(loopbackUrl(this->port, QStringLiteral("/v1/standin/faults")), faults);
}

} // namespace lacewingmux::standin
