#pragma once

#include "lacewingmux_backend/replicas/ReplicaSet.h"
#include "lacewingmux_core/protection/Quarantine.h"

#include <QByteArray>
#include <QString>

#include <chrono>
#include <optional>
#include <vector>

namespace lacewingmux {

/** The load of one replica as one VM reports it to another. */
struct ReplicaLoadEntry
{
    QString replica;
    EngineLoad load;
    std::chrono::milliseconds age{0}; ///< time since the measurement
};

/** Encodes the payload of FrameKind::QuarantineNotice. */
[[nodiscard]] QByteArray encodeQuarantineNotice(const std::vector<CrashCoincidence> &coincidences);

/** Decodes the payload of FrameKind::QuarantineNotice. Returns nullopt when it is malformed. */
[[nodiscard]] std::optional<std::vector<CrashCoincidence>>
decodeQuarantineNotice(const QByteArray &payload);

/** Encodes the payload of FrameKind::ReplicaReport. */
[[nodiscard]] QByteArray encodeReplicaReport(const std::vector<ReplicaLoadEntry> &loads);

/** Decodes the payload of FrameKind::ReplicaReport. Returns nullopt when it is malformed. */
[[nodiscard]] std::optional<std::vector<ReplicaLoadEntry>>
decodeReplicaReport(const QByteArray &payload);

} // namespace lacewingmux
