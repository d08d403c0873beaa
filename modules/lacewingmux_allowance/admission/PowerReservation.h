#pragma once

#include <functional>

namespace lacewingmux {

/** Move-only handle to reserved power of the zone, which is released on destruction. */
class PowerReservation
{
public:
    PowerReservation() = default;
    PowerReservation(double reservedWatts, std::function<void(double watts)> releaseWatts);
    ~PowerReservation();
    PowerReservation(PowerReservation &&other) noexcept;
    PowerReservation &operator=(PowerReservation &&other) noexcept;
    PowerReservation(const PowerReservation &) = delete;
    PowerReservation &operator=(const PowerReservation &) = delete;

    [[nodiscard]] double watts() const noexcept
    {
        return this->reservedWatts;
    }

    /** Releases the power before destruction; further calls have no effect. */
    void release();

private:
    double reservedWatts = 0;
    std::function<void(double watts)> releaseWatts;
};

} // namespace lacewingmux
