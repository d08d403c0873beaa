#pragma once

#include "lacewingmux_config/documents/Route.h"

#include <QByteArray>
#include <QString>
#include <QUrl>

namespace lacewingmux {

/** The record of a replica in the platform's store, under lacewingmux/backends/<zone>/<name>. */
struct ReplicaRecord
{
    QString name; ///< unique within its zone
    QString zone;
    QUrl url;      ///< scheme, address and port
    QString route; ///< the route whose calls the replica runs
    RouteKind kind = RouteKind::ModelEngine;
    double wattsPerSequence = 0; ///< power draw of one running sequence; 0 when not accounted for
    int maxSequences = 1;        ///< sequences it should run concurrently, over all VMs
    bool checksFencing = false;  ///< whether it rejects orders with an outdated fencing token
    QString vm;                  ///< platform name of the VM that hosts the replica; may be empty

    /**
        Parses a record from JSON. Throws a LacewingmuxError of the kind ConfigurationInvalid that
        names the invalid field.
    */
    [[nodiscard]] static ReplicaRecord fromJson(const QString &zone, const QString &name,
                                                const QByteArray &json);

    friend bool operator==(const ReplicaRecord &, const ReplicaRecord &) = default;
};

} // namespace lacewingmux
