#include "lacewingmux_records/quota/QuotaLease.h"

#include <algorithm>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds leaseTime{1000};        // four request intervals, to tolerate a lost request
constexpr milliseconds silenceThreshold{1300}; // the lease time plus an allowance for clock drift

} // namespace

QuotaLease::QuotaLease(const VmIncarnation &ownIncarnation)
    : self(ownIncarnation)
{ }

void QuotaLease::setView(const RecordsView &newView, SteadyTime now)
{
    this->view = newView;
    std::map<VmIncarnation, Peer> retained;
    for (const RecordsMember &member : newView.members) {
        const VmIncarnation &peer = member.vm.incarnation;
        if (peer == this->self)
            continue;
        const auto known = this->peers.find(peer);
        Peer fresh;
        fresh.lastHeard = now;
        retained.emplace(peer, known == this->peers.end() ? fresh : known->second);
    }
    this->peers = std::move(retained);
}

void QuotaLease::recordRequest(const VmIncarnation &peer,
                               const std::vector<std::uint64_t> &silentDisks, SteadyTime now)
{
    const auto known = this->peers.find(peer);
    if (known == this->peers.end())
        return;
    known->second.lastHeard = now;
    known->second.silentPeers = {silentDisks.begin(), silentDisks.end()};
}

void QuotaLease::recordAnswer(const VmIncarnation &peer, SteadyTime sentAt)
{
    const auto known = this->peers.find(peer);
    if (known == this->peers.end())
        return;
    known->second.lastAnswered = sentAt;
    known->second.everAnswered = true;
}

std::vector<std::uint64_t> QuotaLease::silentDisks(SteadyTime now) const
{
    std::vector<std::uint64_t> silent;
    for (const auto &[incarnation, peer] : this->peers) {
        if (this->isSilent(peer, now))
            silent.push_back(incarnation.incarnation);
    }
    return silent;
}

double QuotaLease::share(SteadyTime now) const
{
    const RecordsMember *own = this->view.member(this->self);
    if (own == nullptr || own->state != MemberState::Synced)
        return 0;
    const int members = this->view.storingCount();
    const auto reachable =
            1
            + std::count_if(this->peers.begin(), this->peers.end(), [this, now](const auto &entry) {
                  const RecordsMember *member = this->view.member(entry.first);
                  return this->view.countsAsCopy(*member) && entry.second.everAnswered
                         && now - entry.second.lastAnswered < leaseTime;
              });
    // With two members, neither can be replaced without the other, so one may continue alone.
    if (reachable * 2 <= members && members > 2)
        return 0;
    int leaseHolders = 0;
    for (const RecordsMember &member : this->view.members) {
        if (member.state == MemberState::Synced && !this->hasLostLease(member.vm.incarnation, now))
            ++leaseHolders;
    }
    return leaseHolders == 0 ? 0 : 1.0 / leaseHolders;
}

bool QuotaLease::isSilent(const Peer &peer, SteadyTime now) const
{
    return now - peer.lastHeard > silenceThreshold;
}

bool QuotaLease::hasLostLease(const VmIncarnation &member, SteadyTime now) const
{
    const auto known = this->peers.find(member);
    const int members = this->view.storingCount();
    if (known == this->peers.end() || members <= 2 || !this->isSilent(known->second, now))
        return false;
    const auto agreeingMembers =
            1 + std::count_if(this->peers.begin(), this->peers.end(), [&](const auto &entry) {
                const RecordsMember *witness = this->view.member(entry.first);
                return entry.first != member && this->view.countsAsCopy(*witness)
                       && !this->isSilent(entry.second, now)
                       && entry.second.silentPeers.contains(member.incarnation);
            });
    return agreeingMembers * 2 > members;
}

} // namespace lacewingmux
