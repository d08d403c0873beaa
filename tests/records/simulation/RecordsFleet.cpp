#include "simulation/RecordsFleet.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_keyvalue/update/RecordUpdate.h"

#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

// A small cache, so that histories are often fetched.
constexpr RecordsClientLimits recordsLimits{2000, RecordsFleet::maximumHistoryBytes};

} // namespace

RecordsFleet::RecordsFleet(int recordsVmCount, int entryVmCount)
    : storeServer(std::make_shared<InMemoryStoreServer>(this->timers))
    , network(this->timers)
{
    this->network.setDeliveryDelay(milliseconds(1));
    this->network.setDetectionDelay(milliseconds(900));
    this->network.setReconnectDelay(milliseconds(50));
    for (int number = 1; number <= recordsVmCount; ++number)
        this->startRecordsVm(QStringLiteral("r%1").arg(number), true);
    for (int number = 1; number <= entryVmCount; ++number)
        this->startEntryVm(number);
    this->run(milliseconds(4000));
}

RecordsFleet::~RecordsFleet()
{
    this->entryVms.clear();
    this->recordsVms.clear();
}

void RecordsFleet::startRecordsVm(const QString &name, bool firstStart)
{
    SimulatedDisk &disk = this->disks[name];
    const bool isEmpty = disk.identity == 0;
    if (isEmpty)
        disk.identity = this->nextIdentity++;
    VmDescriptor self;
    self.incarnation = {name, QStringLiteral("zone-") + name, disk.identity};
    self.address = name;
    self.trafficPort = 1;

    RecordsVm &vm = this->recordsVms[name];
    vm.hub = this->network.makeHub(self.incarnation);
    vm.log = std::make_unique<SimulatedLog>(disk, this->timers, milliseconds(5));
    vm.store = std::make_unique<InMemoryPlatformStore>(this->storeServer, name);
    vm.membership = std::make_unique<RecordsMembership>(
            *vm.store, this->timers, self, 1, firstStart && isEmpty,
            [this, &vm](const RecordsView &view) { this->adoptView(vm, view); });
    RecordsServerHooks hooks;
    hooks.synced = [&vm] { vm.membership->declareSynced(); };
    hooks.copied = [&vm] {
        vm.membership->leave([&vm] { vm.hasLeft = vm.membership->isLeaving(); });
    };
    hooks.memberSilent = [&vm](const VmIncarnation &member) {
        if (RecordsMembership::withoutSilentMember(vm.membership->view(), member))
            vm.membership->removeSilentMember(member);
    };
    hooks.standbyCanReplace = [&vm](const VmIncarnation &member) {
        vm.membership->replaceAsStandby(member);
    };
    hooks.standbyNeeded = [&vm](const VmIncarnation &member) {
        vm.membership->requestStandby(member);
    };
    hooks.placeLost = [&vm](const VmIncarnation &member, std::uint64_t viewNumber) {
        vm.membership->freePlace(member, viewNumber);
    };
    hooks.silentMemberDispensable = [&vm](const VmIncarnation &member, std::uint64_t viewNumber) {
        vm.membership->letSilentMemberLeave(member, viewNumber);
    };
    hooks.predecessorsCopied = [&vm](const std::set<VmIncarnation> &silentLeaving,
                                     std::uint64_t viewNumber) {
        vm.membership->notePredecessorsCopied(silentLeaving, viewNumber);
    };
    hooks.newerView = [&vm](const QByteArray &document) {
        vm.membership->adoptViewDocument(document);
    };
    hooks.newerConfiguration = [](const auto &) {};
    vm.server = std::make_unique<RecordsServer>(*vm.hub, *vm.log, this->timers, this->metrics,
                                                std::move(hooks));
    vm.membership->start();
}

void RecordsFleet::adoptView(RecordsVm &vm, const RecordsView &view)
{
    if (!vm.server)
        return;
    vm.hub->setPeers(view.descriptors());
    vm.server->setView(view);
}

void RecordsFleet::stopRecordsVm(const QString &name, std::size_t survivingRecords)
{
    RecordsVm &vm = this->recordsVms.at(name);
    vm.log->tearWrite(survivingRecords);
    vm.membership.reset();
    vm.server.reset();
    vm.log.reset();
    vm.hub.reset();
    vm.store.reset();
}

void RecordsFleet::wipe(const QString &name)
{
    this->disks[name] = {};
}

void RecordsFleet::retire(const QString &name)
{
    this->recordsVms.at(name).membership->beginLeaving();
}

void RecordsFleet::declareLost(const QString &name)
{
    InMemoryPlatformStore store(this->storeServer, QStringLiteral("operator"));
    std::optional<std::optional<LacewingmuxError>> result;
    updateRecord(
            store, recordsViewKey,
            [&name](const QByteArray &document) -> std::optional<QByteArray> {
                const auto view = RecordsView::fromDocument(document);
                const auto next = RecordsMembership::withoutLostVm(view.value(), name);
                return next ? std::optional(next->toDocument()) : std::nullopt;
            },
            [&result](const auto &error) { result = error; });
    while (!result)
        this->run(milliseconds(1));
}

void RecordsFleet::run(milliseconds duration)
{
    constexpr milliseconds step{1};
    for (milliseconds passed{0}; passed < duration; passed += step) {
        this->timers.advance(step);
        this->timers.runPosted();
    }
}

bool RecordsFleet::isRunning(const QString &name) const
{
    return this->recordsVms.at(name).hub != nullptr;
}

RecordsView RecordsFleet::storedView() const
{
    InMemoryPlatformStore store(this->storeServer, QStringLiteral("test"));
    const auto found = this->storeServer->table().range(KeyRange::single(recordsViewKey));
    return found.empty() ? RecordsView()
                         : RecordsView::fromDocument(found.front().value).value_or(RecordsView());
}

void RecordsFleet::startEntryVm(int number)
{
    const QString name = QStringLiteral("e%1").arg(number);
    EntryVm entry;
    entry.hub = this->network.makeHub({name, QStringLiteral("zone-r%1").arg(number), 1});
    entry.store = std::make_unique<InMemoryPlatformStore>(this->storeServer, name);
    this->entryVms.push_back(std::move(entry));
    const std::size_t index = this->entryVms.size() - 1;
    const auto adopt = [this, index](const QByteArray &document) {
        const auto view = RecordsView::fromDocument(document);
        if (!view)
            return;
        EntryVm &vm = this->entryVms[index];
        vm.hub->setPeers(view->descriptors());
        vm.client->setView(*view);
        vm.quota->setView(*view);
    };
    EntryVm &vm = this->entryVms.back();
    vm.client = std::make_unique<RecordsClient>(*vm.hub, this->timers, this->metrics, recordsLimits,
                                                adopt);
    vm.quota = std::make_unique<FleetQuota>(*vm.hub, this->timers, [](const auto &) {});
    vm.watch = vm.store->watchPrefix(recordsViewKey, 0,
                                     [adopt](const StoreRecord &record) { adopt(record.value); });
}

} // namespace lacewingmux
