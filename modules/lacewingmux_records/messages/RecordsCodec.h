#pragma once

#include "lacewingmux_core/protection/Quarantine.h"
#include "lacewingmux_records/messages/RecordMessages.h"

#include <QByteArray>

#include <cstdint>
#include <optional>
#include <vector>

namespace lacewingmux {

/**
    Encodes and decodes the messages. Each decode function returns nothing if the bytes are not a
    valid message of its type.
*/
class RecordsCodec
{
public:
    [[nodiscard]] static QByteArray encodeRecord(const Record &record);
    [[nodiscard]] static std::optional<Record> decodeRecord(const QByteArray &bytes);
    [[nodiscard]] static QByteArray encodeRecords(const std::vector<Record> &records);
    [[nodiscard]] static std::optional<std::vector<Record>> decodeRecords(const QByteArray &bytes);
    [[nodiscard]] static QByteArray encodeOpen(const OpenTurnMessage &message);
    [[nodiscard]] static std::optional<OpenTurnMessage> decodeOpen(const QByteArray &bytes);
    [[nodiscard]] static QByteArray encodeOpenReply(const OpenTurnReplyMessage &message);
    [[nodiscard]] static std::optional<OpenTurnReplyMessage>
    decodeOpenReply(const QByteArray &bytes);
    [[nodiscard]] static QByteArray
    encodeHistoryPartRequest(const HistoryPartRequestMessage &message);
    [[nodiscard]] static std::optional<HistoryPartRequestMessage>
    decodeHistoryPartRequest(const QByteArray &bytes);
    [[nodiscard]] static QByteArray encodeHistoryPart(const HistoryPartMessage &message);
    [[nodiscard]] static std::optional<HistoryPartMessage>
    decodeHistoryPart(const QByteArray &bytes);
    [[nodiscard]] static QByteArray encodeNotice(const QByteArray &viewDocument);
    [[nodiscard]] static std::optional<QByteArray> decodeNotice(const QByteArray &bytes);
    [[nodiscard]] static QByteArray encodePull(const PullKeysMessage &message);
    [[nodiscard]] static std::optional<PullKeysMessage> decodePull(const QByteArray &bytes);
    [[nodiscard]] static QByteArray encodePullReply(const PullKeysReplyMessage &message);
    [[nodiscard]] static std::optional<PullKeysReplyMessage>
    decodePullReply(const QByteArray &bytes);
    [[nodiscard]] static QByteArray encodeFetch(const std::vector<RecordName> &names);
    [[nodiscard]] static std::optional<std::vector<RecordName>>
    decodeFetch(const QByteArray &bytes);
    [[nodiscard]] static QByteArray encodeGrant(const GrantTokensMessage &message);
    [[nodiscard]] static std::optional<GrantTokensMessage> decodeGrant(const QByteArray &bytes);
    [[nodiscard]] static QByteArray encodeGrantReply(const GrantTokensReplyMessage &message);
    [[nodiscard]] static std::optional<GrantTokensReplyMessage>
    decodeGrantReply(const QByteArray &bytes);
    [[nodiscard]] static QByteArray encodeCrash(const CrashCoincidence &message);
    [[nodiscard]] static std::optional<CrashCoincidence> decodeCrash(const QByteArray &bytes);
    [[nodiscard]] static QByteArray
    encodeConfiguration(const ConfigurationDocumentMessage &message);
    [[nodiscard]] static std::optional<ConfigurationDocumentMessage>
    decodeConfiguration(const QByteArray &bytes);
};

} // namespace lacewingmux
