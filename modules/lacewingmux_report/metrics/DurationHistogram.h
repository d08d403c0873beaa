#pragma once

#include <QJsonObject>

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace lacewingmux {

/**
    Durations from 100 microseconds to 1,000 seconds in bins of equal width on a logarithmic scale.

    Histograms of several VMs merge by adding their bins, so that a percentile over the fleet is
    taken from all observations, never from an average of percentiles. The relative error of a
    percentile is at most the width of one bin: a factor of 10^(1/10).
*/
class DurationHistogram
{
public:
    DurationHistogram();
    ~DurationHistogram();
    DurationHistogram(const DurationHistogram &other);
    DurationHistogram &operator=(const DurationHistogram &other);
    DurationHistogram(DurationHistogram &&other) noexcept;
    DurationHistogram &operator=(DurationHistogram &&other) noexcept;

    /** Counts one duration. */
    void observe(std::chrono::microseconds duration);

    /** Adds the bins of another histogram. */
    void merge(const DurationHistogram &other);

    /** Returns how many durations were counted. */
    [[nodiscard]] std::uint64_t count() const noexcept;

    /** Returns the sum of all durations. */
    [[nodiscard]] std::chrono::microseconds sum() const noexcept;

    /**
        Returns the upper edge of the bin that holds the quantile.

        The quantile is from 0 to 1; the answer for an empty histogram is zero.
    */
    [[nodiscard]] std::chrono::microseconds quantile(double fraction) const;

    /** One bin: everything up to the edge that no lower bin holds. */
    struct Bin
    {
        std::chrono::microseconds upperEdge; ///< microseconds::max() for the overflow bin
        std::uint64_t count;
    };

    /** Returns all bins from the lowest, the underflow bin first and the overflow bin last. */
    [[nodiscard]] std::vector<Bin> bins() const;

    /** Returns {"sumMicroseconds", "bins": [counts]}. */
    [[nodiscard]] QJsonObject toJson() const;

    /** Reads what toJson wrote. Throws LacewingmuxError(MalformedRequest) for anything else. */
    [[nodiscard]] static DurationHistogram fromJson(const QJsonObject &json);

private:
    struct Bins;
    std::unique_ptr<Bins> data;
    std::chrono::microseconds total{0};
};

} // namespace lacewingmux
