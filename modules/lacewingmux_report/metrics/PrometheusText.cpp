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

QByteArray labelText(const std::vector<MetricLabel> &labels, const QByteArray &extra = {})
{
    QByteArray result;
    for (const MetricLabel &label : labels) {
        if (!result.isEmpty())
            result += ',';
        result += label.name.toUtf8() + "=\"" + escaped(label.value) + '"';
    }
    if (!extra.isEmpty())
        result += (result.isEmpty() ? "" : ",") + extra;
    return result.isEmpty() ? result : '{' + result + '}';
}

QByteArray number(double value)
{
    return QByteArray::number(value, 'g', 12);
}

QByteArray secondsText(std::chrono::microseconds duration)
{
    return number(std::chrono::duration<double>(duration).count());
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
            text += name.toUtf8() + labelText(series.labels) + ' ' + number(series.value) + '\n';
    }
}

void writeHistogram(QByteArray &text, const QByteArray &name,
                    const MetricsSnapshot::Series<DurationHistogram> &series)
{
    std::uint64_t cumulative = 0;
    for (const DurationHistogram::Bin &bin : series.value.bins()) {
        cumulative += bin.count;
        const bool overflow = bin.upperEdge == std::chrono::microseconds::max();
        const QByteArray edge = overflow ? QByteArray("+Inf") : secondsText(bin.upperEdge);
        text += name + "_bucket" + labelText(series.labels, "le=\"" + edge + '"') + ' '
                + QByteArray::number(static_cast<qulonglong>(cumulative)) + '\n';
    }
    text += name + "_sum" + labelText(series.labels) + ' ' + secondsText(series.value.sum()) + '\n';
    text += name + "_count" + labelText(series.labels) + ' '
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
