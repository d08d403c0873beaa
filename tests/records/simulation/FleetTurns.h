#pragma once

#include "simulation/RecordsFleet.h"

#include <string>

namespace lacewingmux {

/** Turns of one program, opened and stored at the entry VMs of a simulated fleet. */
class FleetTurns
{
public:
    /** The budget of the program, and the most tokens that one of its turns may use. */
    static constexpr std::int64_t budget = 1000;
    static constexpr std::int64_t maximumTokens = 100;

    explicit FleetTurns(RecordsFleet &recordsFleet);

    /** Opens a turn at an entry VM, and runs the fleet until the opening has ended. */
    TurnAdmission open(std::size_t entry, const char *request, const char *previous);

    /** Opens the turn as above and returns its outcome only. */
    TurnOutcome outcomeOf(std::size_t entry, const char *request, const char *previous)
    {
        return this->open(entry, request, previous).outcome;
    }

    /** Stores a turn that has used the given tokens, and runs the fleet until the time of the call
        is over. Returns whether the turn is kept. */
    bool store(const char *request, const char *previous, std::int64_t tokens = 50);

    /** Opens and stores a turn with the most tokens that it may use. */
    void spend(const char *request);

    /** Returns the document of the view in the store, for messages of failed checks. */
    [[nodiscard]] std::string viewText() const;

private:
    [[nodiscard]] TurnRequest turn(const char *request, const char *previous) const;

    RecordsFleet &fleet;
};

} // namespace lacewingmux
