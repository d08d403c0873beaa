#include "lacewingmux_tunnel/client/TunnelDirectory.h"

#include "lacewingmux_core/hashing/StableHash.h"
#include "lacewingmux_tunnel/client/TunnelUse.h"

#include <chrono>
#include <tuple>
#include <utility>

namespace lacewingmux {

namespace {

// About the time in which a process restarts.
constexpr std::chrono::milliseconds unavailableTime{1000};

} // namespace

TunnelDirectory::TunnelDirectory(QByteArray zoneOfThisVm, std::uint64_t vmSeed)
    : ownZone(std::move(zoneOfThisVm))
    , seed(vmSeed)
    , vms(std::make_shared<std::map<QString, Vm>>())
{ }

TunnelDirectory::~TunnelDirectory() = default;

void TunnelDirectory::setEndpoints(const std::vector<TunnelEndpoint> &newEndpoints)
{
    std::map<QString, Vm> next;
    for (const TunnelEndpoint &endpoint : newEndpoints) {
        Vm &vm = next[endpoint.vm];
        if (const auto known = this->vms->find(endpoint.vm); known != this->vms->end())
            vm = known->second;
        vm.endpoint = endpoint;
        vm.rank = combineHashes(this->seed, stableHash(endpoint.vm.toUtf8()));
    }
    *this->vms = std::move(next);
}

std::shared_ptr<const TunnelUse> TunnelDirectory::take(SteadyTime now)
{
    Vm *best = nullptr;
    for (auto &[name, vm] : *this->vms) {
        if (now >= vm.unavailableUntil && (best == nullptr || this->isPreferred(vm, *best)))
            best = &vm;
    }
    if (best == nullptr)
        return nullptr;
    ++best->tunnels;
    return std::make_shared<TunnelUse>(
            best->endpoint, best->generation,
            [vm = best->endpoint.vm, weakVms = std::weak_ptr(this->vms)] {
                const auto all = weakVms.lock();
                if (!all)
                    return;
                const auto entry = all->find(vm);
                if (entry != all->end() && entry->second.tunnels > 0)
                    --entry->second.tunnels;
            });
}

bool TunnelDirectory::isAvailable(SteadyTime now) const
{
    for (const auto &[name, vm] : *this->vms) {
        if (now >= vm.unavailableUntil)
            return true;
    }
    return false;
}

void TunnelDirectory::recordUnavailable(const QString &vm, SteadyTime now)
{
    const auto found = this->vms->find(vm);
    if (found == this->vms->end())
        return;
    ++found->second.generation;
    found->second.unavailableUntil = now + unavailableTime;
}

bool TunnelDirectory::isReusable(const TunnelUse &tunnel) const
{
    const auto found = this->vms->find(tunnel.endpoint().vm);
    return found != this->vms->end() && found->second.generation == tunnel.generation();
}

bool TunnelDirectory::isPreferred(const Vm &left, const Vm &right) const
{
    const auto order = [this](const Vm &vm) {
        return std::tuple(vm.tunnels, vm.endpoint.zone != this->ownZone, vm.rank);
    };
    return order(left) < order(right);
}

} // namespace lacewingmux
