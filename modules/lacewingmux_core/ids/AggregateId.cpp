#include "lacewingmux_core/ids/AggregateId.h"

#include "lacewingmux_core/hashing/StableHash.h"

#include <QHash>

#include <tuple>

namespace lacewingmux {

namespace {

QString kindName(AggregateKind kind)
{
    switch (kind) {
    case AggregateKind::Program:
        return QStringLiteral("program");
    case AggregateKind::RequestClaim:
        return QStringLiteral("claim");
    case AggregateKind::TeamAllowance:
        return QStringLiteral("team");
    case AggregateKind::PowerAllowance:
        return QStringLiteral("power");
    }
    return QStringLiteral("unknown");
}

} // namespace

AggregateId::AggregateId(AggregateKind kind, QString zone, QString name)
    : aggregateKind(kind)
    , homeZone(std::move(zone))
    , aggregateName(std::move(name))
{ }

SlotIndex AggregateId::slot() const noexcept
{
    const std::uint64_t hash = combineHashes(static_cast<std::uint64_t>(this->aggregateKind),
                                             stableHash(this->aggregateName.toUtf8()));
    return static_cast<SlotIndex>(hash % slotsPerZone);
}

QString AggregateId::toString() const
{
    return kindName(this->aggregateKind) + u'/' + this->homeZone + u'/' + this->aggregateName;
}

bool operator<(const AggregateId &left, const AggregateId &right) noexcept
{
    return std::tie(left.aggregateKind, left.homeZone, left.aggregateName)
           < std::tie(right.aggregateKind, right.homeZone, right.aggregateName);
}

std::size_t qHash(const AggregateId &id, std::size_t seed) noexcept
{
    return qHashMulti(seed, static_cast<int>(id.kind()), id.zone(), id.name());
}

} // namespace lacewingmux
