#include "lacewingmux_daemon/assembly/StatusDocument.h"

#include "lacewingmux_allowance/shares/ShareTable.h"
#include "lacewingmux_backend/replicas/ReplicaSet.h"

#include <QJsonObject>

namespace lacewingmux {

QJsonArray replicasToStatus(const ReplicaSet &replicas)
{
    QJsonArray list;
    for (const ReplicaSnapshot &replica : replicas.replicas()) {
        QJsonObject object{{QStringLiteral("name"), replica.record.name},
                           {QStringLiteral("route"), replica.record.route},
                           {QStringLiteral("vm"), replica.record.vm},
                           {QStringLiteral("leaving"), replica.leaving}};
        if (replica.load)
            object.insert(QStringLiteral("sequences"), replica.load->load.sequences());
        list.append(object);
    }
    return list;
}

QJsonArray sharesToStatus(const ShareTable &shares)
{
    QJsonArray list;
    for (const auto &[item, counters] : shares.countersByItem) {
        const bool isPower = item.kind == AggregateKind::PowerAllowance;
        list.append(QJsonObject{{QStringLiteral("kind"),
                                 isPower ? QStringLiteral("power") : QStringLiteral("team")},
                                {QStringLiteral("name"), item.name},
                                {QStringLiteral("share"), counters.fraction()}});
    }
    return list;
}

} // namespace lacewingmux
