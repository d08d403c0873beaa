#include "lacewingmux_records/messages/Record.h"

namespace lacewingmux {

RecordName nameOf(const Record &record)
{
    return {record.kind, record.key,
            record.kind == RecordKind::Turn ? QByteArray() : record.program};
}

} // namespace lacewingmux
