#pragma once

#include <functional>

namespace lacewingmux {

/** Holds part of the zone's power until it is destroyed. Move-only. */
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

    /** Gives the power back now. */
    void release();

private:
    double reservedWatts = 0;
    std::function<void(double watts)> releaseWatts;
};

} // namespace lacewingmux
