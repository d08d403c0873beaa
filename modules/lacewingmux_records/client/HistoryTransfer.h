#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_records/messages/RecordMessages.h"

#include <QByteArray>

#include <optional>
#include <set>

namespace lacewingmux {

/**
    The parts of one history that have arrived so far, and the records VM that sends the next one.

    All records VMs that have a chain have the same history, so another one can go on where the
    first one stopped. Sends nothing itself.
*/
class HistoryTransfer
{
public:
    /** Sets the records VM that is asked for the next part. */
    void useSource(const VmIncarnation &member);

    /** Records that the source does not send the next part. It is not used again until another
        one has sent a part. */
    void dropSource();

    /** Returns the records VM that is asked for the next part, if any. */
    [[nodiscard]] const std::optional<VmIncarnation> &source() const noexcept
    {
        return this->currentSource;
    }

    [[nodiscard]] bool hasFailedAt(const VmIncarnation &member) const
    {
        return this->failed.contains(member);
    }

    /** Adds a part; returns whether it was the one that the source was asked for. */
    bool add(const VmIncarnation &sender, const HistoryPartMessage &part);

    /** Returns the position of the next part. */
    [[nodiscard]] const HistoryPosition &position() const noexcept
    {
        return this->next;
    }

    [[nodiscard]] bool isComplete() const noexcept
    {
        return this->complete;
    }

    /** Returns what has arrived so far. */
    [[nodiscard]] const QByteArray &bytes() const noexcept
    {
        return this->received;
    }

private:
    std::optional<VmIncarnation> currentSource;
    std::set<VmIncarnation> failed;
    HistoryPosition next;
    QByteArray received;
    bool complete = false;
};

} // namespace lacewingmux
