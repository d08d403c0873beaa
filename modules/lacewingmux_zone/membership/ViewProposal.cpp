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

bool containsMember(const Members &members, const VmIncarnation &vm)
{
    return std::any_of(members.begin(), members.end(),
                       [&vm](const VmDescriptor &member) { return member.incarnation == vm; });
}

/** Adds a VM or replaces its earlier incarnation; ignores one older than the member's. */
void addOrReplace(Members &members, const VmDescriptor &joiner)
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

Members withoutGone(const ViewProposalInput &proposalInput)
{
    Members members = proposalInput.record.view()->members();
    std::erase_if(members, [&proposalInput](const VmDescriptor &member) {
        return member.incarnation != proposalInput.self.incarnation
               && proposalInput.gone.contains(member.incarnation);
    });
    return members;
}

Proposal membersIfChanged(const ViewProposalInput &proposalInput, const Members &members)
{
    if (members == proposalInput.record.view()->members())
        return std::nullopt;
    return members;
}

Proposal proposeAsMember(const ViewProposalInput &proposalInput)
{
    Members members = withoutGone(proposalInput);
    if (proposalInput.leaving) {
        const Members others = without(members, proposalInput.self.incarnation);
        return others.empty() ? std::nullopt : membersIfChanged(proposalInput, others);
    }
    for (const VmDescriptor &joiner : proposalInput.joiners)
        addOrReplace(members, joiner);
    const auto silent = std::find_if(
            proposalInput.silent.begin(), proposalInput.silent.end(),
            [&members](const VmIncarnation &vm) { return containsMember(members, vm); });
    if (proposalInput.mayRemoveSilent && silent != proposalInput.silent.end())
        members = without(members, *silent);
    return membersIfChanged(proposalInput, members);
}

Proposal proposeAsJoiner(const ViewProposalInput &proposalInput)
{
    if (proposalInput.leaving)
        return std::nullopt;
    const Members &current = proposalInput.record.view()->members();
    Members members = withoutGone(proposalInput);
    const auto sameVm =
            std::find_if(members.begin(), members.end(), [&proposalInput](const auto &member) {
                return member.incarnation.vm == proposalInput.self.incarnation.vm;
            });
    const bool replaces = sameVm != members.end();
    if (replaces && sameVm->incarnation.incarnation > proposalInput.self.incarnation.incarnation)
        return std::nullopt;

    const bool othersServe = !members.empty() && !replaces;
    if (othersServe && members.size() == 1)
        return std::nullopt;
    if (othersServe && !proposalInput.memberHeardRecently && !proposalInput.mayJoinWithoutContact)
        return std::nullopt;
    addOrReplace(members, proposalInput.self);
    return members == current ? std::nullopt : Proposal(members);
}

} // namespace

std::optional<std::vector<VmDescriptor>> proposeMembers(const ViewProposalInput &proposalInput)
{
    if (proposalInput.record.epoch() == 0)
        return proposalInput.leaving ? std::nullopt : Proposal(Members{proposalInput.self});
    if (proposalInput.record.view()->contains(proposalInput.self.incarnation))
        return proposeAsMember(proposalInput);
    return proposeAsJoiner(proposalInput);
}

} // namespace lacewingmux
