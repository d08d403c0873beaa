#pragma once

#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_keyvalue/memory/InMemoryPlatformStore.h"
#include "lacewingmux_keyvalue/memory/InMemoryStoreServer.h"
#include "lacewingmux_peer/links/InMemoryPeerNetwork.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_records/client/FleetQuota.h"
#include "lacewingmux_records/client/RecordsClient.h"
#include "lacewingmux_records/members/RecordsMembership.h"
#include "lacewingmux_records/server/RecordsServer.h"
#include "model/ModelDisk.h"
#include "model/ModelLog.h"

#include <QString>

#include <map>
#include <memory>
#include <vector>

namespace lacewingmux {

/** Records VMs and entry VMs with an in-memory network, disks and store, in virtual time. */
class RecordsFleet
{
public:
    /** The processes of one records VM. */
    struct RecordsVm
    {
        std::unique_ptr<PeerHub> hub;
        std::unique_ptr<ModelLog> log;
        std::unique_ptr<InMemoryPlatformStore> store;
        std::unique_ptr<RecordsMembership> membership;
        std::unique_ptr<RecordsServer> server;
        bool hasLeft = false;
    };

    /** The processes of one entry VM. */
    struct EntryVm
    {
        std::unique_ptr<PeerHub> hub;
        std::unique_ptr<InMemoryPlatformStore> store;
        std::unique_ptr<PlatformStore::Watch> watch;
        std::unique_ptr<RecordsClient> client;
        std::unique_ptr<FleetQuota> quota;
    };

    /** Starts the VMs, named r1, r2 … and e1, e2 …, and waits until they are connected. */
    RecordsFleet(int recordsVms, int entryVms);
    ~RecordsFleet();
    RecordsFleet(const RecordsFleet &) = delete;
    RecordsFleet &operator=(const RecordsFleet &) = delete;

    /** Starts a records VM with its disk, or with an empty one. */
    void startRecords(const QString &name, bool firstStart = false);

    /** Stops a records VM as a power loss does: unsynced records are lost, except the torn ones. */
    void stopRecords(const QString &name, std::size_t tornRecords);

    /** Erases the disk of a stopped records VM. */
    void wipe(const QString &name);

    /** Tells a records VM to leave permanently. */
    void retire(const QString &name);

    void run(std::chrono::milliseconds duration);

    [[nodiscard]] bool isRunning(const QString &name) const;

    /** Returns the view in the store. */
    [[nodiscard]] RecordsView storedView() const;

    ManualTimerService timers;
    std::shared_ptr<InMemoryStoreServer> storeServer;
    InMemoryPeerNetwork network;
    IgnoringMetricsRecorder metrics;
    std::map<QString, ModelDisk> disks;
    std::map<QString, RecordsVm> records;
    std::vector<EntryVm> entries;

private:
    void startEntry(int number);
    void adoptView(RecordsVm &vm, const RecordsView &view);

    std::uint64_t nextIdentity = 1;
};

} // namespace lacewingmux
