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

namespace lacewingmux {

/**
    Judges the records VMs' answers to the opening of one turn. Pure.

    A budget is spent when what others of the program have handed out or may yet hand out leaves no
    room for this turn: "spent" then stays true whatever happens.
*/
class TurnQuorum
{
public:
    /** The history is known already when the turn continues none, or this VM has it. */
    TurnQuorum(const TurnRequest &turnOpening, const RecordsView &recordsView, bool historyKnown);

    /** Takes the answer of a member. */
    void addReply(const VmIncarnation &member, const OpenTurnReplyMessage &reply);

    /** Notes that the member won't answer. */
    void addFailure(const VmIncarnation &member);

    /** Returns how the opening ended; nothing while answers are still needed. */
    [[nodiscard]] std::optional<TurnOutcome> outcome() const;

    /** Returns a member that has the history but was not asked to send it; null without one, and
        while another one may still send it unless impatient. */
    [[nodiscard]] const VmIncarnation *untappedHolder(bool impatient) const;

    /** Notes that the member is asked to send the history. */
    void noteHistoryAsked(const VmIncarnation &member);

    /** Returns the history, where a member has sent it. */
    [[nodiscard]] const QByteArray &history() const noexcept
    {
        return this->chainHistory;
    }

private:
    [[nodiscard]] std::optional<TurnOutcome> budgetOutcome() const;
    [[nodiscard]] std::optional<TurnOutcome> historyOutcome() const;
    [[nodiscard]] std::int64_t tokensOfOthers() const;

    TurnRequest opening;
    RecordsView view;
    bool hasHistory;
    QByteArray chainHistory;
    std::set<VmIncarnation> answered;
    std::set<VmIncarnation> failed;
    std::set<VmIncarnation> synced;  ///< answered, and may say that something does not exist
    std::set<VmIncarnation> absent;  ///< certainly lack the turn
    std::set<VmIncarnation> holders; ///< have the turn with its chain
    std::set<VmIncarnation> asked;   ///< were asked to send the history
    std::set<VmIncarnation> storing; ///< answered, and keep the reservation
    QHash<QByteArray, ReservationState> others;
};

} // namespace lacewingmux
