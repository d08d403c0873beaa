#include "lacewingmux_http/forward/RequestHome.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/hashing/StableHash.h"
#include "lacewingmux_program/claims/RequestClaim.h"
#include "lacewingmux_program/owner/ProgramRepository.h"
#include "lacewingmux_program/requests/OwnerRequest.h"

namespace lacewingmux {

namespace {

QString homeZone(const OwnerRequest &request, const QStringList &zones)
{
    const std::uint64_t name = combineHashes(stableHash(request.team.toUtf8()),
                                             stableHash(request.idempotencyKey.toUtf8()));
    const QString *home = nullptr;
    std::uint64_t greatest = 0;
    for (const QString &zone : zones) {
        const std::uint64_t weight = combineHashes(stableHash(zone.toUtf8()), name);
        if (home == nullptr || weight > greatest || (weight == greatest && zone < *home)) {
            home = &zone;
            greatest = weight;
        }
    }
    return home == nullptr ? QString() : *home;
}

} // namespace

std::optional<AggregateId> homeOf(const OwnerRequest &request, const QStringList &configuredZones)
{
    if (!request.programId.isEmpty()) {
        const auto program = programAggregate(request.programId);
        if (!program)
            throw LacewingmuxError(ErrorKind::UnknownProgram,
                                   QStringLiteral("this is no program id"));
        return program;
    }
    if (!request.idempotencyKey.isEmpty())
        return claimAggregate(homeZone(request, configuredZones), request.team,
                              request.idempotencyKey);
    return std::nullopt;
}

} // namespace lacewingmux
