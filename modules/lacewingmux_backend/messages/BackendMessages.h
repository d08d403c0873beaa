#pragma once

#include "lacewingmux_backend/replicas/ReplicaSet.h"
#include "lacewingmux_core/protection/Quarantine.h"

#include <QByteArray>
#include <QString>

#include <chrono>
#include <optional>
#include <vector>

namespace lacewingmux {

/** The load of one replica as one VM tells it to another. */
struct ReplicaLoadEntry
{
    QString replica;
    EngineLoad load;
    std::chrono::milliseconds age{0}; ///< since it was measured
};

/** Encodes the payload of FrameKind::QuarantineNotice. */
[[nodiscard]] QByteArray encodeQuarantineNotice(const std::vector<CrashCoincidence> &coincidences);

/** Decodes it; nothing when the payload is damaged. */
[[nodiscard]] std::optional<std::vector<CrashCoincidence>>
decodeQuarantineNotice(const QByteArray &payload);

/** Encodes the payload of FrameKind::ReplicaReport. */
[[nodiscard]] QByteArray encodeReplicaReport(const std::vector<ReplicaLoadEntry> &loads);

/** Decodes it; nothing when the payload is damaged. */
[[nodiscard]] std::optional<std::vector<ReplicaLoadEntry>>
decodeReplicaReport(const QByteArray &payload);

} // namespace lacewingmux
