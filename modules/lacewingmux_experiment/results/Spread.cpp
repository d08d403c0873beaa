#include "lacewingmux_experiment/results/Spread.h"

#include <algorithm>
#include <numeric>

namespace lacewingmux::experiment {

Spread spreadOf(const std::vector<double> &values)
{
    if (values.empty())
        return {};
    const auto [least, greatest] = std::minmax_element(values.begin(), values.end());
    const double sum = std::accumulate(values.begin(), values.end(), 0.0);
    return {sum / static_cast<double>(values.size()), *least, *greatest};
}

Spread spreadOfRatios(const std::vector<double> &values, const std::vector<double> &bases)
{
    std::vector<double> ratios;
    for (std::size_t index = 0; index < values.size(); ++index) {
        if (bases[index] > 0)
            ratios.push_back(values[index] / bases[index]);
        else if (values[index] == 0)
            ratios.push_back(1);
    }
    return spreadOf(ratios);
}

} // namespace lacewingmux::experiment
