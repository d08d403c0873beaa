#include "lacewingmux_records/members/RecordsGroups.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace lacewingmux {

void RecordsGroups::deal(RecordsView &view)
{
    // So many that a majority is left when the tolerated disks are lost.
    const std::size_t smallestGroup = 2 * static_cast<std::size_t>(view.toleratedDisks) + 1;
    const std::size_t count = std::max<std::size_t>(1, view.members.size() / smallestGroup);
    view.groupSizes.assign(count, 0);
    std::map<QString, std::vector<RecordsMember *>> byZone;
    for (RecordsMember &member : view.members)
        byZone[member.vm.incarnation.zone].push_back(&member);
    std::size_t dealt = 0;
    for (auto &[zone, members] : byZone) {
        for (RecordsMember *member : members) {
            member->group = static_cast<int>(dealt++ % count);
            ++view.groupSizes[static_cast<std::size_t>(member->group)];
        }
    }
}

int RecordsGroups::groupForJoiner(const RecordsView &view, const VmIncarnation &joiner)
{
    int best = 0;
    std::tuple<int, int> bestRank;
    for (int group = 0; group < view.groupCount(); ++group) {
        const RecordsView part = view.ofGroup(group);
        const auto present =
                std::count_if(part.members.begin(), part.members.end(), [](const auto &entry) {
                    return entry.state != MemberState::Leaving;
                });
        const auto inZone = std::count_if(
                part.members.begin(), part.members.end(),
                [&joiner](const auto &entry) { return entry.vm.incarnation.zone == joiner.zone; });
        const std::tuple rank(static_cast<int>(present) - part.targetSize,
                              static_cast<int>(inZone));
        if (group == 0 || rank < bestRank) {
            best = group;
            bestRank = rank;
        }
    }
    return best;
}

std::optional<RecordsView> RecordsGroups::withStandbyMoved(const RecordsView &view,
                                                           const VmIncarnation &silent)
{
    const RecordsMember *lost = view.member(silent);
    if (lost == nullptr || lost->state != MemberState::Synced)
        return std::nullopt;
    const int needy = lost->group;
    const RecordsView needyView = view.ofGroup(needy);
    const bool hasJoiner =
            std::any_of(needyView.members.begin(), needyView.members.end(),
                        [](const auto &entry) { return entry.state == MemberState::Joining; });
    if (hasJoiner)
        return std::nullopt;
    RecordsView next = view;
    const auto standby = std::find_if(
            next.members.begin(), next.members.end(), [&view, needy](const auto &entry) {
                return entry.group != needy && view.ofGroup(entry.group).isStandby(entry);
            });
    if (standby == next.members.end())
        return std::nullopt;
    standby->group = needy;
    standby->syncSources = syncSources(needyView);
    return next;
}

int RecordsGroups::syncSources(const RecordsView &groupView)
{
    // Each member may have one of a record's copies: also one that leaves, and a joining one may
    // stand for a lost disk that had it. Standbys have no place of the group.
    const auto count = [&groupView](MemberState state) {
        return static_cast<int>(
                std::count_if(groupView.members.begin(), groupView.members.end(),
                              [state](const auto &entry) { return entry.state == state; }));
    };
    const int synced = count(MemberState::Synced);
    const int filled =
            std::max(synced, std::min(groupView.targetSize, synced + count(MemberState::Joining)));
    return std::max(1, filled + count(MemberState::Leaving) - groupView.toleratedDisks);
}

} // namespace lacewingmux
