#pragma once

#include <QString>

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace lacewingmux {

/**
    What a front knows about the owners of one team's allowance in the zones: until when they are
    empty or not worth asking. Decides whom to ask next. Pure: time is passed in.
*/
class OwnerHints
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /** Notes that the zone's owner has no whole token until the moment. */
    void noteEmpty(const QString &zone, Time until);

    /** Notes that the zone's owner can't be reached until the moment, as far as is known. */
    void noteUnavailable(const QString &zone, Time until);

    /** Notes that the zone's owner granted all that was needed. */
    void noteGranted(const QString &zone);

    /** Returns the first zone of the list that is worth asking, or nothing. */
    [[nodiscard]] std::optional<QString> choose(const std::vector<QString> &zonesInOrder,
                                                Time now) const;

    /** Tells whether the zone's owner answered that it is empty until some time after now. */
    [[nodiscard]] bool isEmpty(const QString &zone, Time now) const;

    /** Returns how long until some owner has a token again, if any said so. */
    [[nodiscard]] std::optional<std::chrono::microseconds> untilToken(Time now) const;

private:
    struct Hint
    {
        std::optional<Time> emptyUntil;
        std::optional<Time> unavailableUntil;
    };

    std::map<QString, Hint> hintByZone;
};

} // namespace lacewingmux
