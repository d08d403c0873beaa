#include "lacewingmux_records/quota/QuotaLease.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds leaseTime{1000};        // four request intervals, to tolerate a lost request
constexpr milliseconds silenceThreshold{1300}; // the lease time plus an allowance for clock drift
// Age up to which a member's report about others counts: two intervals between its requests. An
// older one may be outdated by the return of a silent member.
constexpr milliseconds maximumReportAge{600};
// How long a member that was silent is informed about it; several times the time until its lease is
// valid again.
constexpr milliseconds silenceMemory{5000};

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
    this->changedAt = now;
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

void QuotaLease::recordAnswer(const VmIncarnation &peer, SteadyTime sentAt, bool foundSilent,
                              SteadyTime now)
{
    // Several members report the same silence, and repeat it for a while.
    const bool isKnownTakeover =
            this->takeoverCount > 0 && now - this->lastTakeoverAt < 2 * silenceMemory;
    if (foundSilent && !isKnownTakeover) {
        ++this->takeoverCount;
        this->lastTakeoverAt = now;
    }
    const auto known = this->peers.find(peer);
    if (known == this->peers.end())
        return;
    known->second.lastAnswered = sentAt;
    known->second.everAnswered = true;
}

std::vector<std::uint64_t> QuotaLease::reportSilentDisks(SteadyTime now)
{
    std::vector<std::uint64_t> silent;
    for (auto &[incarnation, peer] : this->peers) {
        if (!this->isSilent(peer, now))
            continue;
        peer.reportedSilentAt = now;
        peer.everReportedSilent = true;
        silent.push_back(incarnation.incarnation);
    }
    return silent;
}

bool QuotaLease::wasFoundSilent(const VmIncarnation &peer, SteadyTime now) const
{
    const auto known = this->peers.find(peer);
    return known != this->peers.end() && known->second.everReportedSilent
           && now - known->second.reportedSilentAt < silenceMemory;
}

bool QuotaLease::isHeld(SteadyTime now) const
{
    const RecordsMember *own = this->view.member(this->self);
    if (own == nullptr || own->state != MemberState::Synced)
        return false;
    const int members = this->view.storingCount();
    const auto reachable =
            1
            + std::count_if(this->peers.begin(), this->peers.end(), [this, now](const auto &entry) {
                  const RecordsMember *member = this->view.member(entry.first);
                  return this->view.countsAsCopy(*member) && entry.second.everAnswered
                         && now - entry.second.lastAnswered < leaseTime;
              });
    // With two members, neither can be replaced without the other, so one may continue alone.
    return reachable * 2 > members || members <= 2;
}

double QuotaLease::share(const std::vector<VmIncarnation> &ranking, int parts, SteadyTime now) const
{
    if (!this->isHeld(now))
        return 0;
    int holders = 0;
    bool isHolder = false;
    for (const VmIncarnation &member : ranking) {
        if (holders == parts)
            break;
        if (this->hasLostLease(member, now))
            continue;
        ++holders;
        isHolder = isHolder || member == this->self;
    }
    return isHolder ? 1.0 / holders : 0;
}

void QuotaLease::update(SteadyTime now)
{
    std::set<VmIncarnation> without;
    if (!this->isHeld(now))
        without.insert(this->self);
    for (const auto &[member, peer] : this->peers) {
        if (this->hasLostLease(member, now))
            without.insert(member);
    }
    if (without != this->leaseless)
        this->changedAt = now;
    this->leaseless = std::move(without);
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
                       && now - entry.second.lastHeard <= maximumReportAge
                       && entry.second.silentPeers.contains(member.incarnation);
            });
    return agreeingMembers * 2 > members;
}

} // namespace lacewingmux
