#pragma once

#include "lacewingmux_core/time/EventLoopMonitor.h"
#include "lacewingmux_core/time/QtTimerService.h"
#include "lacewingmux_node/settings/NodeSettings.h"
#include "lacewingmux_records/messages/RecordMessages.h"
#include "lacewingmux_records/server/RecordsServerHooks.h"
#include "lacewingmux_relay/links/RelayClient.h"
#include "lacewingmux_relay/links/RelayServer.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace lacewingmux {

class MetricsRecorder;
class RecordsServer;
class RecordsView;
class SegmentedLog;
class TcpPeerHub;
class TunnelServer;
struct VmIncarnation;

/** The services of a records VM that run on its traffic thread. */
class RecordsTrafficServices
{
public:
    /** Notifications for the control thread; called on the traffic thread. */
    struct Hooks
    {
        RecordsServerHooks records;
        RelayServer::Hooks relayServer;
        RelayClient::Hooks relayClient;
    };

    RecordsTrafficServices(const NodeSettings &settings, const VmIncarnation &self,
                           MetricsRecorder &metrics, Hooks hooks);
    ~RecordsTrafficServices();
    RecordsTrafficServices(const RecordsTrafficServices &) = delete;
    RecordsTrafficServices &operator=(const RecordsTrafficServices &) = delete;

    /** Sets the view of the records VMs. */
    void setView(const RecordsView &view);

    /** Sets the operators' configuration that is passed on to other VMs. */
    void setConfiguration(const ConfigurationDocumentMessage &document);

    /** Starts a planned stop. The hook is called when the tunnels of other VMs have ended. */
    void beginStop(std::function<void()> stopped);

    /** Returns the server of this VM's subscribers. */
    [[nodiscard]] RelayServer &relayServer() noexcept
    {
        return *this->relay;
    }

    /** Returns the client through which this VM subscribes to other relays. */
    [[nodiscard]] RelayClient &relayClient() noexcept
    {
        return *this->relays;
    }

private:
    /** Notifies the peer that this VM opens no more tunnels. */
    void announceTunnelStop(const VmIncarnation &peer);

    QtTimerService timers;
    EventLoopMonitor monitor;
    std::unique_ptr<SegmentedLog> log;
    std::unique_ptr<TcpPeerHub> hub;
    std::unique_ptr<RecordsServer> server;
    std::unique_ptr<RelayServer> relay;
    std::unique_ptr<RelayClient> relays;
    std::unique_ptr<TunnelServer> tunnels; ///< null if tunnels are disabled
    bool stopping = false;
};

} // namespace lacewingmux
