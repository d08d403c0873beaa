#include "loops/EventLoop.h"

#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_node/records/RecordsTrafficServices.h"
#include "lacewingmux_node/settings/PeerSetup.h"
#include "lacewingmux_peer/links/TcpPeerHub.h"
#include "lacewingmux_tunnel/client/StreamConnector.h"

#include <QRandomGenerator>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTemporaryDir>

#include <criterion/criterion.h>

#include <memory>
#include <optional>

using namespace lacewingmux;

namespace {

const QHostAddress loopback(QHostAddress::LocalHost);

/** Returns a port on which nobody listens, and which the system does not take for an outgoing
    connection of another process before it is used. */
std::uint16_t freePort()
{
    constexpr int firstPort = 10000;
    constexpr int lastPort = 32000; // outgoing connections have higher ones by default
    QTcpServer server;
    std::uint16_t port = 0;
    while (!server.isListening()) {
        port = static_cast<std::uint16_t>(QRandomGenerator::system()->bounded(firstPort, lastPort));
        server.listen(loopback, port);
    }
    return port;
}

/** A records VM, a peer that is linked to it, and a target for tunnels. */
class RecordsTunnels
{
public:
    RecordsTunnels()
    {
        this->settings.vm = QStringLiteral("records");
        this->settings.address = loopback;
        this->settings.dataFolder = this->folder.path();
        this->settings.sharedSecret = "secret";
        this->settings.peerPort = freePort();
        do {
            this->settings.tunnelPort = freePort();
        } while (this->settings.tunnelPort == this->settings.peerPort);
        this->recordsVm = std::make_unique<RecordsTrafficServices>(
                this->settings, this->recordsIncarnation, this->metrics,
                RecordsTrafficServices::Hooks{
                        {},
                        {[](const VmIncarnation &) {}, [](bool) {}},
                        {[](const RelayUpdate &) {}, [](const RelayContact &) {}, [](bool) {}}});
        this->connectPeer();
        this->target.listen(loopback);
    }

    /** Links a peer to the records VM; the one before, if there is one, ends first. */
    void connectPeer()
    {
        NodeSettings peerNode = this->settings;
        peerNode.peerPort = 0;
        this->peer.reset();
        this->peer = std::make_unique<TcpPeerHub>(
                peerSettings(peerNode, {QStringLiteral("entry"), QStringLiteral("a"), 1}),
                this->loop.timers);
        this->peer->setHandler(FrameKind::TunnelStopNotice,
                               [this](const VmIncarnation &sender, const PeerFrame &) {
                                   this->stoppedVm = sender.vm;
                               });
        VmDescriptor descriptor;
        descriptor.incarnation = this->recordsIncarnation;
        descriptor.address = loopback.toString();
        descriptor.trafficPort = this->settings.peerPort;
        this->peer->setPeers({descriptor});
        this->loop.waitUntil([this] { return this->peer->isConnected(this->recordsIncarnation); },
                             "the link");
    }

    /** Connects the socket to the target through the records VM, and returns how that ended. */
    ConnectResult connect(QTcpSocket &socket, const QByteArray &secret)
    {
        const TunnelEndpoint endpoint{this->settings.vm, "a", loopback, this->settings.tunnelPort};
        const StreamRoute route{loopback, this->target.serverPort(),
                                std::make_shared<TunnelUse>(endpoint, 0, [] {}), secret};
        std::optional<ConnectResult> result;
        const StreamConnector connector(socket, route, this->loop.timers,
                                        [&result](ConnectResult ended) { result = ended; });
        this->loop.waitUntil([&result] { return result.has_value(); }, "the result");
        return *result;
    }

    EventLoop loop;
    IgnoringMetricsRecorder metrics;
    QTemporaryDir folder;
    NodeSettings settings;
    VmIncarnation recordsIncarnation{QStringLiteral("records"), QStringLiteral("a"), 1};
    std::unique_ptr<RecordsTrafficServices> recordsVm;
    std::unique_ptr<TcpPeerHub> peer;
    QTcpServer target;
    std::optional<QString> stoppedVm;
};

} // namespace

Test(records_tunnels, are_opened_for_vms_of_the_deployment_alone)
{
    RecordsTunnels fixture;
    QTcpSocket first;
    cr_assert(fixture.connect(first, "secret") == ConnectResult::Connected);
    QTcpSocket second;
    cr_assert(fixture.connect(second, "other") == ConnectResult::TunnelFailed);
}

Test(records_tunnels, delay_a_planned_stop_that_peers_are_told_of)
{
    RecordsTunnels fixture;
    QTcpSocket socket;
    cr_assert(fixture.connect(socket, "secret") == ConnectResult::Connected);
    bool stopped = false;
    fixture.recordsVm->beginStop([&stopped] { stopped = true; });
    fixture.loop.waitUntil([&] { return fixture.stoppedVm.has_value(); }, "the notice");
    cr_assert(*fixture.stoppedVm == QStringLiteral("records"));
    cr_assert_not(stopped);
    socket.disconnectFromHost();
    fixture.loop.waitUntil([&] { return stopped; }, "the stop");
}

// The link was down when the stop began, so that the peer would use an open tunnel again.
Test(records_tunnels, announce_the_stop_to_a_peer_whose_link_comes_up_during_it)
{
    RecordsTunnels fixture;
    QTcpSocket socket;
    cr_assert(fixture.connect(socket, "secret") == ConnectResult::Connected);
    fixture.peer.reset();
    fixture.loop.runFor(std::chrono::milliseconds(50));
    fixture.recordsVm->beginStop([] {});
    fixture.loop.runFor(std::chrono::milliseconds(50));
    fixture.connectPeer();
    fixture.loop.runFor(std::chrono::milliseconds(500));
    cr_assert(fixture.stoppedVm.has_value());
}
