#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_records/client/RecordsClient.h"

#include <criterion/criterion.h>

#include <set>

using namespace lacewingmux;
using namespace std::chrono_literals;

// Guards against callers of a partitioned zone being kept at its entry VMs until their silent links
// to the records VMs are closed, more than a second after the partition began.

namespace {

/** A hub with links to all peers, some of which have gone silent. */
class SilentPeersHub final : public PeerHub
{
public:
    [[nodiscard]] const VmIncarnation &self() const override
    {
        return this->incarnation;
    }
    void setPeers(const std::vector<VmDescriptor> &) override
    { }
    bool send(const VmIncarnation &, const PeerFrame &) override
    {
        return true;
    }
    [[nodiscard]] bool isConnected(const VmIncarnation &) const override
    {
        return true;
    }
    [[nodiscard]] bool isResponsive(const VmIncarnation &peer,
                                    std::chrono::milliseconds) const override
    {
        return !this->silent.contains(peer);
    }
    void setHandler(FrameKind, FrameHandler) override
    { }
    void addLinkHandler(LinkHandler) override
    { }

    std::set<VmIncarnation> silent;

private:
    VmIncarnation incarnation{QStringLiteral("e1"), QStringLiteral("zone-1"), 1};
};

RecordsView viewOfThree()
{
    RecordsView view;
    view.number = 1;
    view.targetSize = 3;
    view.toleratedDisks = 1;
    for (std::uint64_t disk = 1; disk <= 3; ++disk) {
        RecordsMember member;
        member.vm.incarnation = {QStringLiteral("r%1").arg(disk),
                                 QStringLiteral("zone-%1").arg(disk), disk};
        member.state = MemberState::Synced;
        view.members.push_back(member);
    }
    return view;
}

} // namespace

Test(silent_quorum, is_missing_while_the_links_to_silent_members_are_still_up)
{
    ManualTimerService timers;
    SilentPeersHub hub;
    IgnoringMetricsRecorder metrics;
    RecordsClient client(hub, timers, metrics, {1024, 1024}, [](const QByteArray &) {});
    const RecordsView view = viewOfThree();
    client.setView(view);
    cr_assert(client.hasResponsiveQuorum(500ms));
    hub.silent.insert(view.members[1].vm.incarnation);
    cr_assert(client.hasResponsiveQuorum(500ms), "two of three are a quorum");
    hub.silent.insert(view.members[2].vm.incarnation);
    cr_assert_not(client.hasResponsiveQuorum(500ms));
    cr_assert(client.hasQuorum(), "the links are still up");
    hub.silent.clear();
    cr_assert(client.hasResponsiveQuorum(500ms));
}
