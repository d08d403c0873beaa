#pragma once

#include <vector>

namespace lacewingmux::experiment {

/** Mean, least and greatest of one figure over the seeds. */
struct Spread
{
    double mean = 0;
    double least = 0;
    double greatest = 0;
};

/** Returns the spread of the values; of none, zeros. */
[[nodiscard]] Spread spreadOf(const std::vector<double> &values);

/** Returns the spread of each value over the one at the same place below it. Pairs with 0 below
    are left out, unless both are 0, which counts as 1. */
[[nodiscard]] Spread spreadOfRatios(const std::vector<double> &values,
                                    const std::vector<double> &bases);

} // namespace lacewingmux::experiment
