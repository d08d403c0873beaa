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

/** Records VMs and entry VMs over a network, disks and a store in memory, in virtual time. */
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

    /** Starts so many of each, named r1, r2 … and e1, e2 …, and lets them find each other. */
    RecordsFleet(int recordsVms, int entryVms);
    ~RecordsFleet();
    RecordsFleet(const RecordsFleet &) = delete;
    RecordsFleet &operator=(const RecordsFleet &) = delete;

    /** Starts a records VM on its disk, or on an empty one. */
    void startRecords(const QString &name, bool firstStart = false);

    /** Ends the process of a records VM; with the power, all but some unsynced records go too. */
    void stopRecords(const QString &name, std::size_t tornRecords);

    /** Takes the disk of a records VM that is stopped. */
    void wipe(const QString &name);

    /** Asks a records VM to leave for good. */
    void retire(const QString &name);

    void run(std::chrono::milliseconds duration);

    [[nodiscard]] bool isRunning(const QString &name) const;

    /** Returns the view that the store holds. */
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
