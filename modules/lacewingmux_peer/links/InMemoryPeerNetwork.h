#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_core/time/TimerService.h"
#include "lacewingmux_peer/messages/PeerFrame.h"

#include <QStringList>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace lacewingmux {

class InMemoryPeerHub;
class PeerHub;

/**
    A network of peer hubs within one thread, for tests and schedule exploration.

    It behaves as TCP links do: frames between two hubs arrive in order; a cut holds frames back,
    and once the ends have noticed it (detection delay) the link breaks, the held frames are lost
    and both ends are told. A link forms again when it can. A paused hub is a stopped process:
    frames that had reached it wait, and it handles them when it goes on, even when its peers
    have closed the link meanwhile. Destroying a hub is a kill: its peers see the link break.

    Time comes from the given timer service. The network must outlive its hubs.
*/
class InMemoryPeerNetwork
{
public:
    explicit InMemoryPeerNetwork(TimerService &timerService);
    ~InMemoryPeerNetwork();
    InMemoryPeerNetwork(const InMemoryPeerNetwork &) = delete;
    InMemoryPeerNetwork &operator=(const InMemoryPeerNetwork &) = delete;

    /** Makes the hub of one incarnation. A link forms as soon as one of its two ends wants it. */
    [[nodiscard]] std::unique_ptr<PeerHub> makeHub(const VmIncarnation &incarnation);

    /** Sets how long each frame travels; frames already under way keep their time. Default 0. */
    void setDeliveryDelay(std::chrono::milliseconds delay);

    /** Sets after how long the ends of a cut link, or the peers of a paused hub, notice. Default 0.
     */
    void setDetectionDelay(std::chrono::milliseconds delay);

    /** Sets how long a broken link takes at least to form again. Default 0. */
    void setReconnectDelay(std::chrono::milliseconds delay);

    /** Cuts both directions between two VMs, whatever their incarnations. */
    void cut(const QString &vm, const QString &otherVm);

    /** Cuts one direction alone; the link breaks for both ends once it is noticed. */
    void cutOneWay(const QString &fromVm, const QString &toVm);

    /** Cuts both directions between every VM of one group and every VM of the other. */
    void cutGroups(const QStringList &vms, const QStringList &otherVms);

    /** Heals both directions between two VMs. */
    void heal(const QString &vm, const QString &otherVm);

    /** Heals every cut. Paused hubs stay paused. */
    void healAll();

    /** Stops the hub of the VM from handling anything. */
    void pause(const QString &vm);

    /** Lets the paused hub of the VM go on, with the frames that had reached it. */
    void resume(const QString &vm);

    /** Breaks a link at once: frames in flight are lost, both ends are told, and it forms anew. */
    void breakLink(const QString &vm, const QString &otherVm);

private:
    friend class InMemoryPeerHub;

    enum class ItemKind : std::uint8_t { Frame, LinkUp, LinkDown };
    struct Item
    {
        ItemKind kind = ItemKind::Frame;
        TimerService::SteadyTime due;
        PeerFrame frame;
    };
    /** What travels from one hub to another. */
    struct Lane
    {
        std::deque<Item> items;
        TimerSubscription wakeUp;
    };
    /** The truth about the link between two hubs, whatever its ends have noticed. */
    struct Link
    {
        bool established = false;
        bool breaking =
                false; ///< it cannot carry frames any more, which its ends have yet to notice
        TimerService::SteadyTime notBefore;
        TimerSubscription detection;
        TimerSubscription reconnection;
    };
    using Route = std::pair<VmIncarnation, VmIncarnation>; ///< sender and receiver
    using VmRoute = std::pair<QString, QString>;

    void remove(InMemoryPeerHub *hub);
    void sendFrame(const VmIncarnation &from, const VmIncarnation &to, const PeerFrame &frame);
    void evaluateAll();
    void evaluate(const Route &pair);
    [[nodiscard]] bool canBeUp(const Route &pair) const;
    [[nodiscard]] bool isWanted(const Route &pair) const;
    [[nodiscard]] bool isBlocked(const Route &route) const;
    [[nodiscard]] bool isPaused(const VmIncarnation &hub) const;
    void establish(const Route &pair);
    void breakEstablished(const Route &pair, bool loseFrames);
    void closeLane(const Route &route, bool loseFrames);
    void push(const Route &route, ItemKind kind, const PeerFrame &frame);
    void scheduleLane(const Route &route);
    void runLane(const Route &route);

    TimerService &timers;
    std::chrono::milliseconds deliveryDelay{0};
    std::chrono::milliseconds detectionDelay{0};
    std::chrono::milliseconds reconnectDelay{0};
    std::map<VmIncarnation, InMemoryPeerHub *> hubs;
    std::map<Route, Link> links; ///< keyed with the lower incarnation first
    std::map<Route, Lane> lanes;
    std::set<VmRoute> cuts;
    std::set<QString> pausedVms;
    std::shared_ptr<bool> alive;
};

} // namespace lacewingmux
