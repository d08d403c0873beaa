#include "lacewingmux_records/server/HistoryReader.h"

#include "lacewingmux_records/log/DurableLog.h"
#include "lacewingmux_records/log/RecordIndex.h"

namespace lacewingmux {

namespace {

/** Appends the text of the turn at the part's end, as far as it fits. */
void appendTurn(HistoryPartMessage &part, const Record &record, qsizetype maximumBytes)
{
    const QByteArray text = record.input + record.output;
    const auto offset = static_cast<qsizetype>(part.next.offset);
    const QByteArray taken = text.mid(offset, maximumBytes - part.bytes.size());
    part.bytes += taken;
    part.next.offset += static_cast<std::uint64_t>(taken.size());
    if (offset + taken.size() >= text.size())
        part.next = {part.next.turn + 1, 0};
}

} // namespace

HistoryReader::HistoryReader(const RecordIndex &recordIndex, DurableLog &durableLog)
    : index(recordIndex)
    , log(durableLog)
{ }

HistoryPartMessage HistoryReader::read(const HistoryPartRequestMessage &request,
                                       std::chrono::system_clock::time_point expiredBefore) const
{
    const ChainLookup lookup = this->index.chain(request.previousTurn, request.team, expiredBefore);
    HistoryPartMessage part;
    part.chain = lookup.status;
    part.from = request.from;
    part.next = request.from;
    if (lookup.status != ChainStatus::Found)
        return part;
    while (part.next.turn < lookup.sequences.size()) {
        if (part.bytes.size() >= request.maximumBytes)
            return part;
        const std::optional<Record> record = this->log.read(lookup.sequences[part.next.turn]);
        if (!record) {
            part.chain = ChainStatus::Incomplete;
            part.bytes.clear();
            return part;
        }
        appendTurn(part, *record, request.maximumBytes);
    }
    part.atEnd = true;
    return part;
}

} // namespace lacewingmux
