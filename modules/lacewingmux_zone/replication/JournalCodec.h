#pragma once

#include "lacewingmux_zone/replication/JournalMessages.h"

#include <QByteArray>

#include <vector>

namespace lacewingmux {

/**
    Encodes the journal's messages as FlatBuffers payloads and decodes them. Decoding verifies the
    buffer first and throws LacewingmuxError(ProtocolViolation) if it is malformed.
*/
class JournalCodec
{
public:
    [[nodiscard]] static QByteArray encodeSurvey(const std::vector<SlotIndex> &slots);
    [[nodiscard]] static std::vector<SlotIndex> decodeSurvey(const QByteArray &payload);

    [[nodiscard]] static QByteArray encodeAnswers(const std::vector<SurveyAnswer> &answers);
    [[nodiscard]] static std::vector<SurveyAnswer> decodeAnswers(const QByteArray &payload);

    [[nodiscard]] static QByteArray encodeRequests(const std::vector<StateRequest> &requests);
    [[nodiscard]] static std::vector<StateRequest> decodeRequests(const QByteArray &payload);

    [[nodiscard]] static QByteArray encodePieces(const std::vector<StatePiece> &pieces);
    [[nodiscard]] static std::vector<StatePiece> decodePieces(const QByteArray &payload);

    [[nodiscard]] static QByteArray encodeStateAcks(const std::vector<StateAck> &acks);
    [[nodiscard]] static std::vector<StateAck> decodeStateAcks(const QByteArray &payload);

    [[nodiscard]] static QByteArray encodeAppends(const std::vector<AppendEntry> &entries);
    [[nodiscard]] static std::vector<AppendEntry> decodeAppends(const QByteArray &payload);

    [[nodiscard]] static QByteArray encodeAppendAcks(const std::vector<AppendAck> &acks);
    [[nodiscard]] static std::vector<AppendAck> decodeAppendAcks(const QByteArray &payload);

    [[nodiscard]] static QByteArray encodeActivated(const std::vector<ActivatedSlot> &activated);
    [[nodiscard]] static std::vector<ActivatedSlot> decodeActivated(const QByteArray &payload);

    [[nodiscard]] static QByteArray encodeActivatedRequest(const std::vector<SlotIndex> &slots);
    [[nodiscard]] static std::vector<SlotIndex> decodeActivatedRequest(const QByteArray &payload);
};

} // namespace lacewingmux
