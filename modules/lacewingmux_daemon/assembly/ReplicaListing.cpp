#include "lacewingmux_daemon/assembly/ReplicaListing.h"

#include "lacewingmux_backend/replicas/ReplicaSet.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_core/time/TimerService.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace lacewingmux {

namespace {

const QByteArray vmPrefix = QByteArrayLiteral("platform/vms/");
constexpr std::chrono::milliseconds readRetryDelay{1000};

} // namespace

ReplicaListing::ReplicaListing(PlatformStore &platformStore, TimerService &timerService,
                               QString ownZone, Handler changeHandler)
    : store(platformStore)
    , timers(timerService)
    , zone(std::move(ownZone))
    , replicaPrefix("lacewingmux/backends/" + this->zone.toUtf8() + '/')
    , handler(std::move(changeHandler))
{
    this->follow(this->replicaPrefix);
    this->follow(vmPrefix);
}

ReplicaListing::~ReplicaListing()
{
    *this->alive = false;
}

void ReplicaListing::follow(const QByteArray &prefix)
{
    const std::shared_ptr<bool> token = this->alive;
    this->store.readPrefix(prefix, [this, prefix, token](const auto &found) {
        if (!*token)
            return;
        if (!found) {
            this->retries[prefix] =
                    this->timers.after(readRetryDelay, [this, prefix] { this->follow(prefix); });
            return;
        }
        std::int64_t newest = 0;
        for (const StoreRecord &record : *found) {
            newest = std::max(newest, record.modRevision);
            this->take(record);
        }
        this->watches[prefix] = this->store.watchPrefix(
                prefix, newest, [this](const StoreRecord &record) { this->take(record); });
        this->publish();
    });
}

void ReplicaListing::take(const StoreRecord &record)
{
    if (record.key.startsWith(this->replicaPrefix))
        this->takeReplica(QString::fromUtf8(record.key.mid(this->replicaPrefix.size())),
                          record.value);
    else if (record.key.startsWith(vmPrefix))
        this->takeVm(QString::fromUtf8(record.key.mid(vmPrefix.size())), record.value);
    this->publish();
}

void ReplicaListing::takeReplica(const QString &name, const QByteArray &value)
{
    if (value.isEmpty()) {
        this->records.erase(name);
        return;
    }
    try {
        this->records[name] = ReplicaRecord::fromJson(this->zone, name, value);
    } catch (const LacewingmuxError &error) {
        LogEvent(LogSeverity::Error, "replicaRecordFaulty")
                .field("replica", name)
                .field("fault", error.message());
    }
}

void ReplicaListing::takeVm(const QString &vm, const QByteArray &value)
{
    const QString state = QJsonDocument::fromJson(value).object().value(u"state").toString();
    const bool leaving = state == QLatin1String("leaving") || state == QLatin1String("gone");
    if (leaving)
        this->leavingVms.insert(vm);
    else
        this->leavingVms.erase(vm);
}

void ReplicaListing::publish()
{
    std::vector<ReplicaSnapshot> snapshots;
    for (const auto &[name, record] : this->records)
        snapshots.push_back({record, this->leavingVms.count(record.vm) > 0, std::nullopt});
    this->handler(std::make_shared<const ReplicaSet>(std::move(snapshots)));
}

} // namespace lacewingmux
