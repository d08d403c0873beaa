#pragma once

#include "lacewingmux_peer/links/PeerHub.h"

#include <cstddef>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace lacewingmux {

class ModelHub;

/**
    A network that delivers one frame at a time on a path selected by the schedule.

    Frames on one path stay in order. Breaking a link loses the frames in transit; each end is
    notified when the schedule delivers the notification. Paused VMs receive nothing.
*/
class ModelNetwork
{
public:
    using Path = std::pair<VmIncarnation, VmIncarnation>; ///< sender and receiver

    void attach(ModelHub &hub);
    void detach(const VmIncarnation &vm);

    void send(const VmIncarnation &sender, const VmIncarnation &receiver, const PeerFrame &frame);

    /** Delivers the first item of a random path; returns false if there is nothing to deliver. */
    bool deliverOne(std::mt19937_64 &random);

    /** Breaks the link between two VMs; it reconnects unless the two are cut off. */
    void breakLink(const VmIncarnation &first, const VmIncarnation &second);

    void cut(const VmIncarnation &first, const VmIncarnation &second);
    void healAll();
    void setPaused(const VmIncarnation &vm, bool paused);

private:
    struct Item
    {
        enum class Kind { Frame, Up, Down } kind;
        PeerFrame frame;
    };

    void connect(const VmIncarnation &first, const VmIncarnation &second);
    void drop(const Path &path);
    [[nodiscard]] bool isCut(const Path &path) const;

    std::map<VmIncarnation, ModelHub *> hubs;
    std::map<Path, std::deque<Item>> items;
    std::set<Path> cuts;
    std::set<VmIncarnation> pausedVms;
};

/** The hub of one VM in a ModelNetwork; it links to all other VMs. */
class ModelHub final : public PeerHub
{
public:
    ModelHub(ModelNetwork &modelNetwork, VmIncarnation ownIncarnation);
    ~ModelHub() override;

    [[nodiscard]] const VmIncarnation &self() const override;
    void setPeers(const std::vector<VmDescriptor> &peers) override;
    bool send(const VmIncarnation &peer, const PeerFrame &frame) override;
    [[nodiscard]] bool isConnected(const VmIncarnation &peer) const override;
    void setHandler(FrameKind kind, FrameHandler handler) override;
    void addLinkHandler(LinkHandler handler) override;

    void receive(const VmIncarnation &sender, const PeerFrame &frame);
    void setLinkUp(const VmIncarnation &peer, bool up);

private:
    ModelNetwork &network;
    VmIncarnation incarnation;
    std::set<VmIncarnation> connected;
    std::map<FrameKind, FrameHandler> handlers;
    std::vector<LinkHandler> linkHandlers;
};

} // namespace lacewingmux
