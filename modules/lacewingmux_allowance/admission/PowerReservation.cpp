#include "lacewingmux_allowance/admission/PowerReservation.h"

#include <utility>

namespace lacewingmux {

PowerReservation::PowerReservation(double watts, std::function<void(double)> release)
    : reservedWatts(watts)
    , releaseWatts(std::move(release))
{ }

PowerReservation::~PowerReservation()
{
    this->release();
}

PowerReservation::PowerReservation(PowerReservation &&other) noexcept
    : reservedWatts(std::exchange(other.reservedWatts, 0))
    , releaseWatts(std::exchange(other.releaseWatts, nullptr))
{ }

PowerReservation &PowerReservation::operator=(PowerReservation &&other) noexcept
{
    if (this != &other) {
        this->release();
        this->reservedWatts = std::exchange(other.reservedWatts, 0);
        this->releaseWatts = std::exchange(other.releaseWatts, nullptr);
    }
    return *this;
}

void PowerReservation::release()
{
    const double watts = std::exchange(this->reservedWatts, 0);
    if (const auto releaseCallback = std::exchange(this->releaseWatts, nullptr))
        releaseCallback(watts);
}

} // namespace lacewingmux
