#include "lacewingmux_records/members/SilenceAgreement.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

// Two intervals between a member's requests. An older report may be outdated by the return of the
// silent member.
constexpr std::chrono::milliseconds maximumReportAge{600};

} // namespace

SilenceAgreement::SilenceAgreement(const VmIncarnation &ownIncarnation)
    : self(ownIncarnation)
{ }

void SilenceAgreement::setView(const RecordsView &groupView, SteadyTime now)
{
    this->view = groupView;
    std::map<VmIncarnation, Peer> retained;
    for (const RecordsMember &member : groupView.members) {
        const VmIncarnation &peer = member.vm.incarnation;
        const auto known = this->peers.find(peer);
        Peer fresh;
        fresh.lastRequestAt = known == this->peers.end() ? now : known->second.lastRequestAt;
        retained.emplace(peer, std::move(fresh));
    }
    this->peers = std::move(retained);
}

void SilenceAgreement::recordRequest(const VmIncarnation &peer,
                                     const std::vector<std::uint64_t> &silentDisks, SteadyTime now)
{
    const auto known = this->peers.find(peer);
    if (known == this->peers.end())
        return;
    known->second.lastRequestAt = now;
    known->second.reportedAt = now;
    known->second.hasReported = true;
    known->second.silentDisks = {silentDisks.begin(), silentDisks.end()};
}

SilenceAgreement::SteadyTime SilenceAgreement::lastRequestAt(const VmIncarnation &member) const
{
    const auto known = this->peers.find(member);
    return known == this->peers.end() ? SteadyTime() : known->second.lastRequestAt;
}

bool SilenceAgreement::isSilenceAgreed(const VmIncarnation &silent, SteadyTime now) const
{
    const RecordsMember *own = this->view.member(this->self);
    const RecordsMember *lost = this->view.member(silent);
    if (own == nullptr || own->state != MemberState::Synced || lost == nullptr)
        return false;
    int storing = 0;
    std::ptrdiff_t withReservations = 0;
    for (const RecordsMember &member : this->view.members) {
        const VmIncarnation &reporter = member.vm.incarnation;
        if (reporter != this->self && !this->reportsSilence(reporter, silent, now))
            continue;
        storing += this->view.countsAsCopy(member) ? 1 : 0;
        withReservations += member.hasAllRecords() ? 1 : 0;
    }
    const auto allWithReservations =
            std::count_if(this->view.members.begin(), this->view.members.end(),
                          [](const auto &member) { return member.hasAllRecords(); });
    return storing >= this->view.storingCount() - this->view.toleratedDisks
           && 2 * withReservations >= allWithReservations;
}

bool SilenceAgreement::isPlaceLost(const VmIncarnation &silent, SteadyTime now) const
{
    const bool hasJoiner = std::any_of(this->view.members.begin(), this->view.members.end(),
                                       [this, now](const auto &member) {
                                           return member.state == MemberState::Joining
                                                  && this->hasReported(member.vm.incarnation, now);
                                       });
    const RecordsMember *lost = this->view.member(silent);
    return hasJoiner && lost != nullptr && lost->hasAllRecords()
           && this->isSilenceAgreed(silent, now);
}

bool SilenceAgreement::hasReported(const VmIncarnation &reporter, SteadyTime now) const
{
    const auto known = this->peers.find(reporter);
    return known != this->peers.end() && known->second.hasReported
           && now - known->second.reportedAt <= maximumReportAge;
}

bool SilenceAgreement::reportsSilence(const VmIncarnation &reporter, const VmIncarnation &silent,
                                      SteadyTime now) const
{
    return this->hasReported(reporter, now)
           && this->peers.at(reporter).silentDisks.contains(silent.incarnation);
}

} // namespace lacewingmux
