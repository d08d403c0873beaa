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
#include "simulation/SimulatedDisk.h"
#include "simulation/SimulatedLog.h"

#include <QString>

#include <map>
#include <memory>
#include <vector>

namespace lacewingmux {

/**
    A simulated fleet of records VMs and entry VMs in virtual time, with an in-memory network,
    in-memory disks and an in-memory platform store.
*/
class RecordsFleet
{
public:
    /** The objects that make up one records VM. */
    struct RecordsVm
    {
        std::unique_ptr<PeerHub> hub;
        std::unique_ptr<SimulatedLog> log;
        std::unique_ptr<InMemoryPlatformStore> store;
        std::unique_ptr<RecordsMembership> membership;
        std::unique_ptr<RecordsServer> server;
        bool hasLeft = false;
    };

    /** The objects that make up one entry VM. */
    struct EntryVm
    {
        std::unique_ptr<PeerHub> hub;
        std::unique_ptr<InMemoryPlatformStore> store;
        std::unique_ptr<PlatformStore::Watch> watch;
        std::unique_ptr<RecordsClient> client;
        std::unique_ptr<FleetQuota> quota;
    };

    /** Bytes of the longest history that an entry VM fetches. */
    static constexpr qsizetype maximumHistoryBytes = qsizetype{24} * 1024 * 1024;

    /** Starts the VMs, named r1, r2 … and e1, e2 …, and waits until they are connected. */
    RecordsFleet(int recordsVmCount, int entryVmCount);
    ~RecordsFleet();
    RecordsFleet(const RecordsFleet &) = delete;
    RecordsFleet &operator=(const RecordsFleet &) = delete;

    /** Starts a records VM on its disk, which is empty at its first start and after wipe(). On the
        first start of the whole fleet, members with empty disks count as synced. */
    void startRecordsVm(const QString &name, bool firstStart = false);

    /** Stops a records VM as a power loss does: unsynced records are lost, except the given number
        of the first ones. */
    void stopRecordsVm(const QString &name, std::size_t survivingRecords);

    /** Erases the disk of a stopped records VM. */
    void wipe(const QString &name);

    /** Tells a records VM to leave permanently. */
    void retire(const QString &name);

    /** Declares a records VM lost for good, as an operator does. */
    void declareLost(const QString &name);

    void run(std::chrono::milliseconds duration);

    [[nodiscard]] bool isRunning(const QString &name) const;

    /** Returns the view in the store. */
    [[nodiscard]] RecordsView storedView() const;

    ManualTimerService timers;
    std::shared_ptr<InMemoryStoreServer> storeServer;
    InMemoryPeerNetwork network;
    IgnoringMetricsRecorder metrics;
    std::map<QString, SimulatedDisk> disks;
    std::map<QString, RecordsVm> recordsVms;
    std::vector<EntryVm> entryVms;

private:
    void startEntryVm(int number);
    void adoptView(RecordsVm &vm, const RecordsView &view);

    std::uint64_t nextIdentity = 1;
};

} // namespace lacewingmux
