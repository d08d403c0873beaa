#include "lacewingmux_records/client/TurnQuorum.h"

#include <algorithm>

namespace lacewingmux {

TurnQuorum::TurnQuorum(const TurnRequest &turnRequest, const RecordsView &recordsView,
                       bool historyKnown)
    : turn(turnRequest)
    , view(recordsView)
    , hasHistory(historyKnown)
{ }

void TurnQuorum::addReply(const VmIncarnation &member, const OpenTurnReplyMessage &reply)
{
    const RecordsMember *known = this->view.member(member);
    if (known == nullptr)
        return;
    this->answered.insert(member);
    this->failed.erase(member);
    // A VM of an earlier version claims to have all records while it leaves.
    const bool hasAllRecords = reply.hasAllReservations && known->hasAllRecords();
    if (hasAllRecords)
        this->membersWithReservations.insert(member);
    if (this->view.countsAsCopy(*known))
        this->storingMembers.insert(member);
    for (const ReservationState &state : reply.reservations) {
        ReservationState &other = this->otherReservations[state.key];
        // A settlement contains the final number of tokens, so it overrides a reservation.
        const bool overrides = state.settled && !other.settled;
        if (other.key.isEmpty() || overrides)
            other = state;
        else if (state.settled == other.settled)
            other.tokens = std::max(other.tokens, state.tokens);
    }
    if (reply.chain == ChainStatus::Found && !reply.history.isEmpty()) {
        this->chainHistory = reply.history;
        this->hasHistory = true;
    } else if (reply.chain == ChainStatus::Found) {
        this->holders.insert(member);
    } else if ((reply.chain == ChainStatus::Absent || reply.chain == ChainStatus::Expired)
               && hasAllRecords) {
        this->absent.insert(member);
    }
}

void TurnQuorum::addFailure(const VmIncarnation &member)
{
    if (this->view.member(member) == nullptr)
        return;
    if (!this->answered.contains(member))
        this->failed.insert(member);
    this->askedForHistory.erase(member);
    this->holders.erase(member);
}

void TurnQuorum::removeFailure(const VmIncarnation &member)
{
    this->failed.erase(member);
}

std::optional<TurnOutcome> TurnQuorum::outcome() const
{
    const std::optional<TurnOutcome> budget = this->budgetOutcome();
    const std::optional<TurnOutcome> chain = this->historyOutcome();
    if (budget && *budget != TurnOutcome::Ready)
        return budget;
    if (chain && *chain != TurnOutcome::Ready)
        return chain;
    if (budget && chain)
        return TurnOutcome::Ready;
    return std::nullopt;
}

std::vector<VmIncarnation> TurnQuorum::pendingMembers() const
{
    std::vector<VmIncarnation> pending = this->view.incarnations();
    std::erase_if(pending, [this](const VmIncarnation &member) {
        return this->answered.contains(member) || this->failed.contains(member);
    });
    return pending;
}

const VmIncarnation *TurnQuorum::nextHistorySource(bool historyLate) const
{
    const bool isHistoryPending = std::any_of(
            this->askedForHistory.begin(), this->askedForHistory.end(),
            [this](const VmIncarnation &member) {
                return !this->answered.contains(member) && !this->failed.contains(member);
            });
    if (this->hasHistory || (isHistoryPending && !historyLate))
        return nullptr;
    const auto found = std::find_if(this->holders.begin(), this->holders.end(),
                                    [this](const VmIncarnation &holder) {
                                        return !this->askedForHistory.contains(holder);
                                    });
    return found == this->holders.end() ? nullptr : &*found;
}

void TurnQuorum::addHistory(const QByteArray &bytes)
{
    this->chainHistory = bytes;
    this->hasHistory = true;
}

void TurnQuorum::recordHistoryRequest(const VmIncarnation &member)
{
    this->askedForHistory.insert(member);
}

std::optional<TurnOutcome> TurnQuorum::budgetOutcome() const
{
    if (!this->turn.budget)
        return TurnOutcome::Ready;
    const auto known = static_cast<std::ptrdiff_t>(this->membersWithReservations.size());
    const auto copies = static_cast<std::ptrdiff_t>(this->storingMembers.size());
    if (this->view.isReservationQuorum(known, copies)) {
        const std::int64_t total = this->tokensOfOthers() + this->turn.maximumTokens;
        return total <= *this->turn.budget ? TurnOutcome::Ready : TurnOutcome::BudgetExhausted;
    }
    const auto open = static_cast<std::ptrdiff_t>(this->view.members.size())
                      - static_cast<std::ptrdiff_t>(this->answered.size())
                      - static_cast<std::ptrdiff_t>(this->failed.size());
    if (!this->view.isReservationQuorum(known + open, copies + open))
        return TurnOutcome::Unavailable;
    return std::nullopt;
}

std::optional<TurnOutcome> TurnQuorum::historyOutcome() const
{
    if (this->hasHistory)
        return TurnOutcome::Ready;
    if (static_cast<int>(this->absent.size()) >= this->view.absenceQuorum())
        return TurnOutcome::UnknownTurn;
    const bool allAnswered =
            this->answered.size() + this->failed.size() >= this->view.members.size();
    // A holder that was asked for the history may still send it.
    if (allAnswered && this->holders.empty())
        return TurnOutcome::Unavailable;
    return std::nullopt;
}

std::int64_t TurnQuorum::tokensOfOthers() const
{
    std::int64_t tokens = 0;
    for (const ReservationState &state : this->otherReservations)
        tokens += state.tokens;
    return tokens;
}

} // namespace lacewingmux
