#include "lacewingmux_program/requests/RequestRouting.h"

#include "lacewingmux_core/hashing/StableHash.h"
#include "lacewingmux_program/claims/RequestClaim.h"
#include "lacewingmux_program/owner/ProgramRepository.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace lacewingmux {

namespace {

QString homeZone(const OwnerRequest &request, const std::vector<QString> &zones)
{
    const std::uint64_t key = combineHashes(stableHash(request.team.toUtf8()),
                                            stableHash(request.idempotencyKey.toUtf8()));
    const auto weight = [key](const QString &zone) {
        return combineHashes(stableHash(zone.toUtf8()), key);
    };
    const auto best = std::max_element(zones.begin(), zones.end(),
                                       [&weight](const QString &left, const QString &right) {
                                           return weight(left) < weight(right);
                                       });
    return *best;
}

} // namespace

QString concernedProgram(const OwnerRequest &request)
{
    if (request.operation != OwnerOperation::OpenProgram || !request.programId.isEmpty())
        return request.programId;
    const QJsonObject body = QJsonDocument::fromJson(request.body).object();
    return body.value(QLatin1String("parent")).toString();
}

std::optional<AggregateId> decidingAggregate(const OwnerRequest &request,
                                             const std::vector<QString> &zones)
{
    const bool outside = request.operation == OwnerOperation::ServiceCall
                         || request.operation == OwnerOperation::ChatCompletion;
    if (!outside)
        return programAggregate(concernedProgram(request));
    if (request.idempotencyKey.isEmpty() || zones.empty())
        return std::nullopt;
    return claimAggregate(homeZone(request, zones), request.team, request.idempotencyKey);
}

} // namespace lacewingmux
