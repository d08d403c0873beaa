#include "model/RecordsFleet.h"

#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr qsizetype cacheBytes = 2000; // small, so that histories are often fetched

} // namespace

RecordsFleet::RecordsFleet(int recordsVms, int entryVms)
    : storeServer(std::make_shared<InMemoryStoreServer>(this->timers))
    , network(this->timers)
{
    this->network.setDeliveryDelay(milliseconds(1));
    this->network.setDetectionDelay(milliseconds(900));
    this->network.setReconnectDelay(milliseconds(50));
    for (int number = 1; number <= recordsVms; ++number)
        this->startRecords(QStringLiteral("r%1").arg(number), true);
    for (int number = 1; number <= entryVms; ++number)
        this->startEntry(number);
    this->run(milliseconds(4000));
}

RecordsFleet::~RecordsFleet()
{
    this->entries.clear();
    this->records.clear();
}

void RecordsFleet::startRecords(const QString &name, bool firstStart)
{
    ModelDisk &disk = this->disks[name];
    const bool isEmpty = disk.identity == 0;
    if (isEmpty)
        disk.identity = this->nextIdentity++;
    VmDescriptor self;
    self.incarnation = {name, QStringLiteral("zone-") + name, disk.identity};
    self.address = name;
    self.trafficPort = 1;

    RecordsVm &vm = this->records[name];
    vm.hub = this->network.makeHub(self.incarnation);
    vm.log = std::make_unique<ModelLog>(disk, this->timers, milliseconds(5));
    vm.store = std::make_unique<InMemoryPlatformStore>(this->storeServer, name);
    vm.membership = std::make_unique<RecordsMembership>(
            *vm.store, this->timers, self, 1, firstStart && isEmpty,
            [this, &vm](const RecordsView &view) { this->adoptView(vm, view); });
    RecordsServerHooks hooks;
    hooks.synced = [&vm] { vm.membership->declareSynced(); };
    hooks.copied = [&vm] { vm.membership->leave([&vm] { vm.hasLeft = true; }); };
    hooks.memberSilent = [&vm](const VmIncarnation &member) {
        if (RecordsMembership::withoutSilentMember(vm.membership->view(), member))
            vm.membership->removeSilentMember(member);
    };
    hooks.standbyCanReplace = [&vm](const VmIncarnation &member) {
        vm.membership->replaceAsStandby(member);
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

void RecordsFleet::stopRecords(const QString &name, std::size_t tornRecords)
{
    RecordsVm &vm = this->records.at(name);
    vm.log->tearWrite(tornRecords);
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
    this->records.at(name).membership->beginLeaving();
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
    return this->records.at(name).hub != nullptr;
}

RecordsView RecordsFleet::storedView() const
{
    InMemoryPlatformStore store(this->storeServer, QStringLiteral("test"));
    const auto found = this->storeServer->table().range(KeyRange::single(recordsViewKey));
    return found.empty() ? RecordsView()
                         : RecordsView::fromDocument(found.front().value).value_or(RecordsView());
}

void RecordsFleet::startEntry(int number)
{
    const QString name = QStringLiteral("e%1").arg(number);
    EntryVm entry;
    entry.hub = this->network.makeHub({name, QStringLiteral("zone-r%1").arg(number), 1});
    entry.store = std::make_unique<InMemoryPlatformStore>(this->storeServer, name);
    this->entries.push_back(std::move(entry));
    const std::size_t index = this->entries.size() - 1;
    const auto adopt = [this, index](const QByteArray &document) {
        const auto view = RecordsView::fromDocument(document);
        if (!view)
            return;
        EntryVm &vm = this->entries[index];
        vm.hub->setPeers(view->descriptors());
        vm.client->setView(*view);
        vm.quota->setView(*view);
    };
    EntryVm &vm = this->entries.back();
    vm.client = std::make_unique<RecordsClient>(*vm.hub, this->timers, this->metrics, cacheBytes,
                                                adopt);
    vm.quota = std::make_unique<FleetQuota>(*vm.hub, this->timers, [](const auto &) {});
    vm.watch = vm.store->watchPrefix(recordsViewKey, 0,
                                     [adopt](const StoreRecord &record) { adopt(record.value); });
}

} // namespace lacewingmux
