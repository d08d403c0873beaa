#include "lacewingmux_records/client/HistoryTransfer.h"

namespace lacewingmux {

void HistoryTransfer::useSource(const VmIncarnation &member)
{
    this->currentSource = member;
}

void HistoryTransfer::dropSource()
{
    if (this->currentSource)
        this->failed.insert(*this->currentSource);
    this->currentSource.reset();
}

bool HistoryTransfer::add(const VmIncarnation &sender, const HistoryPartMessage &part)
{
    const bool isExpected = this->currentSource == sender && part.from == this->next;
    const bool hasProgress = part.atEnd || !(part.next == part.from);
    if (!isExpected || part.chain != ChainStatus::Found || !hasProgress)
        return false;
    this->received += part.bytes;
    this->next = part.next;
    this->failed.clear();
    this->complete = part.atEnd;
    if (!this->complete)
        return true;
    this->received.squeeze(); // it grows to twice its size
    this->currentSource.reset();
    return true;
}

} // namespace lacewingmux
