#include "lacewingmux_report/metrics/PrometheusText.h"

#include "lacewingmux_report/metrics/MetricsCatalogue.h"
#include "lacewingmux_report/metrics/MetricsSnapshot.h"

namespace lacewingmux {

namespace {

QByteArray escaped(const QString &text)
{
    QByteArray result = text.toUtf8();
    result.replace('\\', "\\\\");
    result.replace('"', "\\\"");
    result.replace('\n', "\\n");
    return result;
}

/** Returns the labels without their braces. */
QByteArray labelText(const std::vector<MetricLabel> &labels)
{
    QByteArray result;
    for (const MetricLabel &label : labels) {
        if (!result.isEmpty())
            result += ',';
        result += label.name.toUtf8() + "=\"" + escaped(label.value) + '"';
    }
    return result;
}

QByteArray inBraces(const QByteArray &labels)
{
    return labels.isEmpty() ? labels : '{' + labels + '}';
}

QByteArray number(double value)
{
    return QByteArray::number(value, 'g', 12);
}

/** The upper edge of a published bucket and the bins that fall into it. */
struct PublishedBucket
{
    QByteArray edge;    ///< in seconds, as the text shows it
    std::size_t endBin; ///< index behind its last bin
};

/** Bins joined into one published bucket: two buckets a decade, 16 lines for a series. */
constexpr std::size_t binsPerBucket = 5;

std::vector<PublishedBucket> makeBuckets()
{
    const std::vector<DurationHistogram::Bin> bins = DurationHistogram().bins();
    std::vector<PublishedBucket> buckets;
    for (std::size_t index = 0; index + 1 < bins.size(); index += binsPerBucket) {
        const std::chrono::duration<double> edge = bins[index].upperEdge;
        buckets.push_back({number(edge.count()), index + 1});
    }
    buckets.push_back({"+Inf", bins.size()});
    return buckets;
}

void writeHead(QByteArray &text, const QString &name, const char *type)
{
    const MetricDescription *description = MetricsCatalogue::find(name);
    if (description != nullptr)
        text += "# HELP " + name.toUtf8() + ' ' + description->help + '\n';
    text += "# TYPE " + name.toUtf8() + ' ' + type + '\n';
}

void writeValues(QByteArray &text,
                 const std::map<QString, MetricsSnapshot::Family<double>> &families,
                 const char *type)
{
    for (const auto &[name, family] : families) {
        writeHead(text, name, type);
        for (const auto &series : family)
            text += name.toUtf8() + inBraces(labelText(series.labels)) + ' ' + number(series.value)
                    + '\n';
    }
}

void writeHistogram(QByteArray &text, const QByteArray &name,
                    const MetricsSnapshot::Series<DurationHistogram> &series)
{
    static const std::vector<PublishedBucket> buckets = makeBuckets();
    const QByteArray labels = labelText(series.labels);
    const QByteArray start = name + "_bucket{" + labels + (labels.isEmpty() ? "le=\"" : ",le=\"");
    const std::vector<DurationHistogram::Bin> bins = series.value.bins();
    std::uint64_t cumulative = 0;
    std::size_t bin = 0;
    for (const PublishedBucket &bucket : buckets) {
        for (; bin < bucket.endBin; ++bin)
            cumulative += bins[bin].count;
        text += start + bucket.edge + "\"} "
                + QByteArray::number(static_cast<qulonglong>(cumulative)) + '\n';
    }
    const std::chrono::duration<double> sum = series.value.sum();
    text += name + "_sum" + inBraces(labels) + ' ' + number(sum.count()) + '\n';
    text += name + "_count" + inBraces(labels) + ' '
            + QByteArray::number(static_cast<qulonglong>(series.value.count())) + '\n';
}

} // namespace

QByteArray PrometheusText::write(const MetricsSnapshot &snapshot)
{
    QByteArray text;
    writeValues(text, snapshot.counters, "counter");
    writeValues(text, snapshot.gauges, "gauge");
    for (const auto &[name, family] : snapshot.histograms) {
        writeHead(text, name, "histogram");
        for (const auto &series : family)
            writeHistogram(text, name.toUtf8(), series);
    }
    return text;
}

} // namespace lacewingmux
