#include "simulation/FleetTurns.h"

#include <criterion/criterion.h>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds callTime{1500};

} // namespace

FleetTurns::FleetTurns(RecordsFleet &recordsFleet)
    : fleet(recordsFleet)
{ }

TurnAdmission FleetTurns::open(std::size_t entry, const char *request, const char *previous)
{
    std::optional<TurnAdmission> admission;
    this->fleet.entryVms[entry].client->open(
            this->turn(request, previous),
            [&admission](const TurnAdmission &result) { admission = result; });
    this->fleet.run(milliseconds(1200));
    cr_assert(admission.has_value());
    return *admission;
}

bool FleetTurns::store(const char *request, const char *previous, std::int64_t tokens)
{
    std::optional<bool> isDurable;
    this->fleet.entryVms[0].client->store(this->turn(request, previous), "a", "b\n", tokens,
                                          [&isDurable](bool durable) { isDurable = durable; });
    this->fleet.run(milliseconds(1800));
    cr_assert(isDurable.has_value());
    return *isDurable;
}

void FleetTurns::spend(const char *request)
{
    cr_assert(this->outcomeOf(0, request, "") == TurnOutcome::Ready, "%s", request);
    cr_assert(this->store(request, "", maximumTokens), "%s", request);
}

std::string FleetTurns::viewText() const
{
    return this->fleet.storedView().toDocument().toStdString();
}

TurnRequest FleetTurns::turn(const char *request, const char *previous) const
{
    TurnRequest turnRequest;
    turnRequest.program = "program";
    turnRequest.request = request;
    turnRequest.team = "team";
    turnRequest.previousTurn = previous;
    turnRequest.budget = budget;
    turnRequest.maximumTokens = maximumTokens;
    turnRequest.retention = std::chrono::seconds(60);
    turnRequest.deadline = this->fleet.timers.now() + callTime;
    return turnRequest;
}

} // namespace lacewingmux
