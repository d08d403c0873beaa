#pragma once

#include "lacewingmux_backend/replicas/ReplicaRecord.h"
#include "lacewingmux_core/time/TimerSubscription.h"
#include "lacewingmux_platform/store/PlatformStore.h"

#include <QByteArray>
#include <QString>

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace lacewingmux {

class ReplicaSet;
class TimerService;

/**
    The replicas of this VM's zone as the platform's store lists them, without load reports.

    Follows lacewingmux/backends/<zone>/ and the platform's list of VMs, which marks a replica as
    leaving. On the control thread.
*/
class ReplicaListing
{
public:
    using Handler = std::function<void(const std::shared_ptr<const ReplicaSet> &replicas)>;

    ReplicaListing(PlatformStore &platformStore, TimerService &timerService, QString ownZone,
                   Handler changeHandler);
    ~ReplicaListing();
    ReplicaListing(const ReplicaListing &) = delete;
    ReplicaListing &operator=(const ReplicaListing &) = delete;

private:
    void follow(const QByteArray &prefix);
    void take(const StoreRecord &record);
    void takeReplica(const QString &name, const QByteArray &value);
    void takeVm(const QString &vm, const QByteArray &value);
    void publish();

    PlatformStore &store;
    TimerService &timers;
    QString zone;
    QByteArray replicaPrefix;
    Handler handler;
    std::map<QString, ReplicaRecord> records;
    std::set<QString> leavingVms;
    std::map<QByteArray, std::unique_ptr<PlatformStore::Watch>> watches;
    std::map<QByteArray, TimerSubscription> retries;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< ends late calls with this
};

} // namespace lacewingmux
