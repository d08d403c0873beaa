#include "lacewingmux_allowance/aggregates/PowerAllowance.h"

#include "lacewingmux_allowance/messages/allowance_generated.h"
#include "lacewingmux_allowance/shares/ShareCodec.h"

#include <algorithm>
#include <cmath>

namespace lacewingmux {

std::optional<PowerAllowance> PowerAllowance::recovered(const QByteArray &entry)
{
    const auto *table = verifiedTable<fb::PowerAllowanceEntry>(entry);
    if (table == nullptr)
        return std::nullopt;
    PowerAllowance allowance;
    if (table->share() != nullptr)
        allowance.localShare = LocalShare(countersFrom(*table->share()));
    if (table->holders() == nullptr)
        return allowance;
    for (const fb::PowerHolder *holder : *table->holders()) {
        const VmIncarnation vm{textOf(*holder->vm()), textOf(*holder->zone()),
                               holder->incarnation()};
        allowance.heldByVm[vm] = {holder->sequence(), holder->watts(), std::nullopt};
    }
    return allowance;
}

PowerAllowance PowerAllowance::afterLoss(Time blockedUntilMoment)
{
    PowerAllowance allowance;
    allowance.blockedUntil = blockedUntilMoment;
    return allowance;
}

void PowerAllowance::setCap(double siteWatts) noexcept
{
    this->capWatts = siteWatts;
}

void PowerAllowance::mergeShare(const ShareCounters &recorded)
{
    this->localShare.merge(recorded);
}

std::uint64_t PowerAllowance::withdrawParts(std::uint64_t parts)
{
    if (this->capWatts <= 0 || this->blockedUntil)
        return 0;
    const auto heldParts = static_cast<std::uint64_t>(
            std::ceil(this->heldWatts() / this->capWatts * partsPerItem));
    const std::uint64_t ownParts = this->localShare.counters().parts();
    return this->localShare.withdraw(std::min(parts, ownParts - std::min(ownParts, heldParts)));
}

double PowerAllowance::request(const VmIncarnation &holder, std::uint64_t sequence,
                               double totalWatts, Time now)
{
    Holding &held = this->heldByVm[holder];
    if (sequence < held.sequence)
        return this->usableWatts(held);
    held.sequence = sequence;
    held.watts = std::min(held.watts, std::max(0.0, totalWatts));
    if (this->blockedUntil && now >= *this->blockedUntil)
        this->blockedUntil.reset();
    if (!this->blockedUntil) {
        const double freeWatts = std::max(0.0, this->limitWatts() - this->heldWatts());
        held.watts += std::clamp(totalWatts - held.watts, 0.0, freeWatts);
    }
    return this->usableWatts(held);
}

double PowerAllowance::usableWatts(const Holding &held) const noexcept
{
    const double totalHeldWatts = this->heldWatts();
    if (totalHeldWatts <= this->limitWatts() || totalHeldWatts <= 0)
        return held.watts;
    return held.watts * this->limitWatts() / totalHeldWatts;
}

void PowerAllowance::markDeparted(const VmIncarnation &holder, Time departedAt)
{
    const auto found = this->heldByVm.find(holder);
    if (found != this->heldByVm.end() && !found->second.departedAt)
        found->second.departedAt = departedAt;
}

void PowerAllowance::markPresent(const VmIncarnation &holder)
{
    const auto found = this->heldByVm.find(holder);
    if (found != this->heldByVm.end())
        found->second.departedAt.reset();
}

bool PowerAllowance::reclaimDeparted(std::chrono::milliseconds longestRunTime, Time now)
{
    const auto removed = std::erase_if(this->heldByVm, [longestRunTime, now](const auto &entry) {
        return entry.second.departedAt && *entry.second.departedAt + longestRunTime <= now;
    });
    return removed > 0;
}

std::vector<VmIncarnation> PowerAllowance::holders() const
{
    std::vector<VmIncarnation> vms;
    for (const auto &[vm, held] : this->heldByVm)
        vms.push_back(vm);
    return vms;
}

double PowerAllowance::heldWatts() const noexcept
{
    double watts = 0;
    for (const auto &[vm, held] : this->heldByVm)
        watts += held.watts;
    return watts;
}

double PowerAllowance::limitWatts() const noexcept
{
    return this->capWatts * this->localShare.counters().fraction();
}

QByteArray PowerAllowance::toEntry() const
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<fb::PowerHolder>> holders;
    for (const auto &[vm, held] : this->heldByVm) {
        const auto vmName = textInto(builder, vm.vm);
        const auto zoneName = textInto(builder, vm.zone);
        holders.push_back(fb::CreatePowerHolder(builder, vmName, zoneName, vm.incarnation,
                                                held.sequence, held.watts));
    }
    const auto holderVector = builder.CreateVector(holders);
    const auto share = this->localShare.isKnown()
                               ? countersInto(builder, this->localShare.counters())
                               : flatbuffers::Offset<fb::ShareCounters>();
    builder.Finish(fb::CreatePowerAllowanceEntry(builder, share, holderVector));
    return bytesOf(builder);
}

} // namespace lacewingmux
