#pragma once

#include "lacewingmux_keyvalue/store/KeyRange.h"
#include "lacewingmux_keyvalue/store/StoreRecord.h"

#include <QByteArray>
#include <QJsonObject>
#include <QJsonValue>

#include <cstdint>

namespace lacewingmux {

/**
    The text forms of the etcd v3 JSON gateway: bytes are Base64 and 64-bit integers are strings.
    Fields with their default value are left out, so an absent field reads as empty or 0.
*/
class EtcdJson
{
public:
    [[nodiscard]] static QJsonValue fromBytes(const QByteArray &bytes);
    [[nodiscard]] static QByteArray toBytes(const QJsonValue &value);

    [[nodiscard]] static QJsonValue fromInteger(std::int64_t number);
    [[nodiscard]] static std::int64_t toInteger(const QJsonValue &value);

    /** Returns {"key", "range_end"} of the range. */
    [[nodiscard]] static QJsonObject fromRange(const KeyRange &keys);
    [[nodiscard]] static KeyRange toRange(const QJsonObject &object);

    /** Returns {"key", "create_revision", "mod_revision", "value", "lease"}. */
    [[nodiscard]] static QJsonObject fromRecord(const StoreRecord &record);
    [[nodiscard]] static StoreRecord toRecord(const QJsonObject &object);

    /** Returns the member under either of its two spellings, as the gateway accepts both. */
    [[nodiscard]] static QJsonValue member(const QJsonObject &object, const char *snakeCaseName,
                                           const char *camelCaseName);
};

} // namespace lacewingmux
