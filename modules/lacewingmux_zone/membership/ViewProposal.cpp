#include "lacewingmux_zone/membership/ViewProposal.h"

#include <algorithm>

namespace lacewingmux {

namespace {

using Members = std::vector<VmDescriptor>;
using Proposal = std::optional<Members>;

Members without(Members members, const VmIncarnation &vm)
{
    std::erase_if(members, [&vm](const VmDescriptor &member) { return member.incarnation == vm; });
    return members;
}

bool holds(const Members &members, const VmIncarnation &vm)
{
    return std::any_of(members.begin(), members.end(),
                       [&vm](const VmDescriptor &member) { return member.incarnation == vm; });
}

/** Puts a VM in, in place of an earlier incarnation; an older one than a member's stays out. */
void admit(Members &members, const VmDescriptor &joiner)
{
    const auto sameVm =
            std::find_if(members.begin(), members.end(), [&joiner](const VmDescriptor &member) {
                return member.incarnation.vm == joiner.incarnation.vm;
            });
    if (sameVm == members.end())
        members.push_back(joiner);
    else if (sameVm->incarnation.incarnation < joiner.incarnation.incarnation)
        *sameVm = joiner;
}

Members withoutGone(const ViewSituation &situation)
{
    Members members = situation.record.view()->members();
    std::erase_if(members, [&situation](const VmDescriptor &member) {
        return member.incarnation != situation.self.incarnation
               && situation.gone.contains(member.incarnation);
    });
    return members;
}

Proposal changed(const ViewSituation &situation, const Members &members)
{
    if (members == situation.record.view()->members())
        return std::nullopt;
    return members;
}

Proposal proposeAsMember(const ViewSituation &situation)
{
    Members members = withoutGone(situation);
    if (situation.leaving) {
        const Members others = without(members, situation.self.incarnation);
        return others.empty() ? std::nullopt : changed(situation, others);
    }
    for (const VmDescriptor &joiner : situation.joiners)
        admit(members, joiner);
    const auto silent =
            std::find_if(situation.silent.begin(), situation.silent.end(),
                         [&members](const VmIncarnation &vm) { return holds(members, vm); });
    if (situation.mayDropNext && silent != situation.silent.end())
        members = without(members, *silent);
    return changed(situation, members);
}

Proposal proposeAsJoiner(const ViewSituation &situation)
{
    if (situation.leaving)
        return std::nullopt;
    const Members &current = situation.record.view()->members();
    Members members = withoutGone(situation);
    const auto sameVm =
            std::find_if(members.begin(), members.end(), [&situation](const auto &member) {
                return member.incarnation.vm == situation.self.incarnation.vm;
            });
    const bool replaces = sameVm != members.end();
    if (replaces && sameVm->incarnation.incarnation > situation.self.incarnation.incarnation)
        return std::nullopt;

    const bool othersServe = !members.empty() && !replaces;
    if (othersServe && members.size() == 1)
        return std::nullopt;
    if (othersServe && !situation.heardMember && !situation.joinUnheard)
        return std::nullopt;
    admit(members, situation.self);
    return members == current ? std::nullopt : Proposal(members);
}

} // namespace

std::optional<std::vector<VmDescriptor>> proposeMembers(const ViewSituation &situation)
{
    if (situation.record.epoch() == 0)
        return situation.leaving ? std::nullopt : Proposal(Members{situation.self});
    if (situation.record.view()->contains(situation.self.incarnation))
        return proposeAsMember(situation);
    return proposeAsJoiner(situation);
}

} // namespace lacewingmux
