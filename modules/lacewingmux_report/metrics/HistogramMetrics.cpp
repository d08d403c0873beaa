#include "lacewingmux_report/metrics/HistogramMetrics.h"

#include <algorithm>
#include <mutex>
#include <thread>

namespace lacewingmux {

namespace {

constexpr std::size_t shardCount = 8;

std::vector<MetricLabel> sortedByName(std::vector<MetricLabel> labels)
{
    std::sort(labels.begin(), labels.end(), [](const MetricLabel &left, const MetricLabel &right) {
        return left.name < right.name;
    });
    return labels;
}

QString seriesKey(const std::vector<MetricLabel> &labels)
{
    QString key;
    for (const MetricLabel &label : labels)
        key += label.name + QChar(u'\x1f') + label.value + QChar(u'\x1e');
    return key;
}

/** The series of one metric by their labels, with the bound on their number. */
template <typename Value>
class BoundedFamily
{
public:
    Value &at(const std::vector<MetricLabel> &unsortedLabels, std::size_t limit)
    {
        std::vector<MetricLabel> labels = sortedByName(unsortedLabels);
        const auto found = this->seriesByKey.find(seriesKey(labels));
        if (found != this->seriesByKey.end())
            return found->second.value;

        if (this->seriesByKey.size() >= limit) {
            for (MetricLabel &label : labels)
                label.value = QStringLiteral("other");
        }
        auto &series = this->seriesByKey[seriesKey(labels)];
        series.labels = std::move(labels);
        return series.value;
    }

    [[nodiscard]] const std::map<QString, MetricsSnapshot::Series<Value>> &series() const
    {
        return this->seriesByKey;
    }

private:
    std::map<QString, MetricsSnapshot::Series<Value>> seriesByKey;
};

template <typename Value>
using Families = std::map<std::string, BoundedFamily<Value>, std::less<>>;

template <typename Value>
BoundedFamily<Value> &familyNamed(Families<Value> &families, const char *name)
{
    const auto found = families.find(std::string_view(name));
    return found != families.end() ? found->second : families[name];
}

void add(double &target, double amount)
{
    target += amount;
}

void add(DurationHistogram &target, const DurationHistogram &other)
{
    target.merge(other);
}

template <typename Value>
std::map<QString, MetricsSnapshot::Family<Value>> flatten(const Families<Value> &merged)
{
    std::map<QString, MetricsSnapshot::Family<Value>> result;
    for (const auto &[name, family] : merged) {
        auto &list = result[QString::fromStdString(name)];
        for (const auto &[key, series] : family.series())
            list.push_back(series);
    }
    return result;
}

template <typename Value>
void mergeInto(Families<Value> &merged, const Families<Value> &part, std::size_t limit)
{
    for (const auto &[name, family] : part) {
        for (const auto &[key, series] : family.series())
            add(merged[name].at(series.labels, limit), series.value);
    }
}

} // namespace

struct HistogramMetrics::Shard
{
    mutable std::mutex mutex;
    Families<double> values;
    Families<DurationHistogram> histograms;
};

HistogramMetrics::HistogramMetrics(std::size_t maximumLabelSets)
    : labelSetLimit(maximumLabelSets)
    , gauges(std::make_unique<Shard>())
{
    for (std::size_t index = 0; index < shardCount; ++index)
        this->shards.push_back(std::make_unique<Shard>());
}

HistogramMetrics::~HistogramMetrics() = default;

void HistogramMetrics::count(const char *name, const std::vector<MetricLabel> &labels,
                             double amount)
{
    Shard &shard = this->shardOfThisThread();
    const std::scoped_lock lock(shard.mutex);
    familyNamed(shard.values, name).at(labels, this->labelSetLimit) += amount;
}

void HistogramMetrics::observe(const char *name, const std::vector<MetricLabel> &labels,
                               std::chrono::microseconds duration)
{
    Shard &shard = this->shardOfThisThread();
    const std::scoped_lock lock(shard.mutex);
    familyNamed(shard.histograms, name).at(labels, this->labelSetLimit).observe(duration);
}

void HistogramMetrics::set(const char *name, const std::vector<MetricLabel> &labels, double value)
{
    const std::scoped_lock lock(this->gauges->mutex);
    familyNamed(this->gauges->values, name).at(labels, this->labelSetLimit) = value;
}

MetricsSnapshot HistogramMetrics::snapshot() const
{
    Families<double> counters;
    Families<DurationHistogram> histograms;
    for (const auto &shard : this->shards) {
        const std::scoped_lock lock(shard->mutex);
        mergeInto(counters, shard->values, this->labelSetLimit);
        mergeInto(histograms, shard->histograms, this->labelSetLimit);
    }

    MetricsSnapshot result;
    result.counters = flatten(counters);
    result.histograms = flatten(histograms);
    const std::scoped_lock lock(this->gauges->mutex);
    result.gauges = flatten(this->gauges->values);
    return result;
}

HistogramMetrics::Shard &HistogramMetrics::shardOfThisThread() const
{
    const std::size_t hash = std::hash<std::thread::id>()(std::this_thread::get_id());
    return *this->shards[hash % this->shards.size()];
}

} // namespace lacewingmux
