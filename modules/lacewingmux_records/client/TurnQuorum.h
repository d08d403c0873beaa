#pragma once

#include "lacewingmux_gateway/forwarding/TurnAdmission.h"
#include "lacewingmux_gateway/forwarding/TurnRequest.h"
#include "lacewingmux_peer/messages/VmDescriptor.h"
#include "lacewingmux_records/members/RecordsView.h"
#include "lacewingmux_records/messages/RecordMessages.h"

#include <QByteArray>
#include <QHash>

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace lacewingmux {

/**
    Evaluates the replies of the records VMs to the opening of one turn, without side effects.

    A budget is exhausted if the tokens that other turns of the program have used or may still use
    leave too few for this turn. This outcome is final.
*/
class TurnQuorum
{
public:
    /** The history is already known if the turn continues no other, or if this VM has cached it. */
    TurnQuorum(const TurnRequest &turnRequest, const RecordsView &recordsView, bool historyKnown);

    /** Adds the reply of a member. */
    void addReply(const VmIncarnation &member, const OpenTurnReplyMessage &reply);

    /** Records that the member will not reply. */
    void addFailure(const VmIncarnation &member);

    /** Records that the member is asked again. */
    void removeFailure(const VmIncarnation &member);

    /** Returns the outcome of the opening; nothing while further replies are needed. */
    [[nodiscard]] std::optional<TurnOutcome> outcome() const;

    /** Returns the members that have not replied yet, and whose reply may still come. */
    [[nodiscard]] std::vector<VmIncarnation> pendingMembers() const;

    /** Returns the members that will not reply. */
    [[nodiscard]] const std::set<VmIncarnation> &failedMembers() const noexcept
    {
        return this->failed;
    }

    /** Returns a member that has the history and was not asked to send it; null if there is none,
        or while another member may still send it and is not late. */
    [[nodiscard]] const VmIncarnation *nextHistorySource(bool historyLate) const;

    /** Returns the members that have the history, and did not send it with their reply. */
    [[nodiscard]] const std::set<VmIncarnation> &historyHolders() const noexcept
    {
        return this->holders;
    }

    /** Adds the history, which a member has sent in parts. */
    void addHistory(const QByteArray &bytes);

    /** Records that the member is asked to send the history. */
    void recordHistoryRequest(const VmIncarnation &member);

    /** Returns the history, if a member has sent it. */
    [[nodiscard]] const QByteArray &history() const noexcept
    {
        return this->chainHistory;
    }

private:
    [[nodiscard]] std::optional<TurnOutcome> budgetOutcome() const;
    [[nodiscard]] std::optional<TurnOutcome> historyOutcome() const;
    [[nodiscard]] std::int64_t tokensOfOthers() const;

    TurnRequest turn;
    RecordsView view;
    bool hasHistory;
    QByteArray chainHistory;
    std::set<VmIncarnation> answered;
    std::set<VmIncarnation> failed;
    /** The members that replied and can state that a record does not exist. */
    std::set<VmIncarnation> membersWithReservations;
    std::set<VmIncarnation> absent;          ///< certainly do not have the turn
    std::set<VmIncarnation> holders;         ///< have the turn and its chain
    std::set<VmIncarnation> askedForHistory; ///< were asked to send the history
    std::set<VmIncarnation> storingMembers;  ///< replied and store a copy of the reservation
    QHash<QByteArray, ReservationState> otherReservations;
};

} // namespace lacewingmux
