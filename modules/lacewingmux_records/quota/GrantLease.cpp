#include "lacewingmux_records/quota/GrantLease.h"

#include <algorithm>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds leaseTime{1000};   // four questions; a lost one does no harm
constexpr milliseconds silentAfter{1300}; // the lease, and clocks that run a little apart

} // namespace

GrantLease::GrantLease(const VmIncarnation &ownIncarnation)
    : self(ownIncarnation)
{ }

void GrantLease::setView(const RecordsView &newView, SteadyTime now)
{
    this->view = newView;
    std::map<VmIncarnation, Peer> kept;
    for (const RecordsMember &member : newView.members) {
        const VmIncarnation &peer = member.vm.incarnation;
        if (peer == this->self)
            continue;
        const auto known = this->peers.find(peer);
        Peer fresh;
        fresh.heard = now;
        kept.emplace(peer, known == this->peers.end() ? fresh : known->second);
    }
    this->peers = std::move(kept);
}

void GrantLease::noteHeard(const VmIncarnation &peer, const std::vector<std::uint64_t> &silentDisks,
                           SteadyTime now)
{
    const auto known = this->peers.find(peer);
    if (known == this->peers.end())
        return;
    known->second.heard = now;
    known->second.finds = {silentDisks.begin(), silentDisks.end()};
}

void GrantLease::noteAnswered(const VmIncarnation &peer, SteadyTime askedAt)
{
    const auto known = this->peers.find(peer);
    if (known == this->peers.end())
        return;
    known->second.answered = askedAt;
    known->second.everAnswered = true;
}

std::vector<std::uint64_t> GrantLease::silentDisks(SteadyTime now) const
{
    std::vector<std::uint64_t> silent;
    for (const auto &[incarnation, peer] : this->peers) {
        if (this->isSilent(peer, now))
            silent.push_back(incarnation.incarnation);
    }
    return silent;
}

double GrantLease::share(SteadyTime now) const
{
    const RecordsMember *own = this->view.member(this->self);
    if (own == nullptr || own->state != MemberState::Synced)
        return 0;
    const int members = this->view.storingCount();
    const auto inTouch =
            1
            + std::count_if(this->peers.begin(), this->peers.end(), [this, now](const auto &entry) {
                  const RecordsMember *member = this->view.member(entry.first);
                  return this->view.countsAsCopy(*member) && entry.second.everAnswered
                         && now - entry.second.answered < leaseTime;
              });
    // Of two members neither can be replaced without the other, so one may go on alone.
    if (inTouch * 2 <= members && members > 2)
        return 0;
    int users = 0;
    for (const RecordsMember &member : this->view.members) {
        if (member.state == MemberState::Synced && !this->isOutOfUse(member.vm.incarnation, now))
            ++users;
    }
    return users == 0 ? 0 : 1.0 / users;
}

bool GrantLease::isSilent(const Peer &peer, SteadyTime now) const
{
    return now - peer.heard > silentAfter;
}

bool GrantLease::isOutOfUse(const VmIncarnation &member, SteadyTime now) const
{
    const auto known = this->peers.find(member);
    const int members = this->view.storingCount();
    if (known == this->peers.end() || members <= 2 || !this->isSilent(known->second, now))
        return false;
    const auto agreeing =
            1 + std::count_if(this->peers.begin(), this->peers.end(), [&](const auto &entry) {
                const RecordsMember *witness = this->view.member(entry.first);
                return entry.first != member && this->view.countsAsCopy(*witness)
                       && !this->isSilent(entry.second, now)
                       && entry.second.finds.contains(member.incarnation);
            });
    return agreeing * 2 > members;
}

} // namespace lacewingmux
