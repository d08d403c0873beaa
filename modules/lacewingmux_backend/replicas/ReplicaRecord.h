#pragma once

#include "lacewingmux_config/documents/Route.h"

#include <QByteArray>
#include <QString>
#include <QUrl>

namespace lacewingmux {

/** A replica as the platform's store lists it under lacewingmux/backends/<zone>/<name>. */
struct ReplicaRecord
{
    QString name; ///< unique within its zone
    QString zone;
    QUrl url;      ///< scheme, address and port
    QString route; ///< the route whose calls it runs
    RouteKind kind = RouteKind::ModelEngine;
    double wattsPerSequence = 0; ///< power that one running sequence draws; 0 when not counted
    int maxSequences = 1;        ///< sequences it should run at once, from all VMs
    bool checksFencing = false;  ///< whether it refuses orders with an old fencing number
    QString vm;                  ///< the VM it runs on, as the platform lists it; may be empty

    /**
        Reads a record from its JSON. Throws a LacewingmuxError of the kind ConfigurationInvalid
        that names the field at fault.
    */
    [[nodiscard]] static ReplicaRecord fromJson(const QString &zone, const QString &name,
                                                const QByteArray &json);

    friend bool operator==(const ReplicaRecord &, const ReplicaRecord &) = default;
};

} // namespace lacewingmux
