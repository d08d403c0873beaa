#include "lacewingmux_report/metrics/DurationHistogram.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QJsonArray>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <cmath>

namespace lacewingmux {

namespace {

using std::chrono::microseconds;

constexpr unsigned binsPerDecade = 10;
constexpr unsigned decades = 7;
constexpr double lowestSeconds = 1e-4;
constexpr double highestSeconds = 1e3;

using LogarithmicAxis =
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

auto makeBins()
{
    return boost::histogram::make_histogram_with(
            std::vector<std::uint64_t>(),
            LogarithmicAxis(binsPerDecade * decades, lowestSeconds, highestSeconds));
}

double seconds(microseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

struct DurationHistogram::Bins
{
    decltype(makeBins()) histogram = makeBins();
    std::uint64_t count = 0;
};

DurationHistogram::DurationHistogram()
    : data(std::make_unique<Bins>())
{ }

DurationHistogram::~DurationHistogram() = default;

DurationHistogram::DurationHistogram(const DurationHistogram &other)
    : data(std::make_unique<Bins>(*other.data))
    , total(other.total)
{ }

DurationHistogram &DurationHistogram::operator=(const DurationHistogram &other)
{
    if (this == &other)
        return *this;
    this->data = std::make_unique<Bins>(*other.data);
    this->total = other.total;
    return *this;
}

DurationHistogram::DurationHistogram(DurationHistogram &&other) noexcept = default;
DurationHistogram &DurationHistogram::operator=(DurationHistogram &&other) noexcept = default;

void DurationHistogram::observe(microseconds duration)
{
    this->data->histogram(seconds(duration));
    ++this->data->count;
    this->total += duration;
}

void DurationHistogram::merge(const DurationHistogram &other)
{
    this->data->histogram += other.data->histogram;
    this->data->count += other.data->count;
    this->total += other.total;
}

std::uint64_t DurationHistogram::count() const noexcept
{
    return this->data->count;
}

microseconds DurationHistogram::sum() const noexcept
{
    return this->total;
}

microseconds DurationHistogram::quantile(double fraction) const
{
    if (this->data->count == 0)
        return microseconds(0);

    const double wanted = fraction * static_cast<double>(this->data->count);
    std::uint64_t seen = 0;
    microseconds edge{0};
    for (const Bin &bin : this->bins()) {
        seen += bin.count;
        if (bin.upperEdge != microseconds::max())
            edge = bin.upperEdge;
        if (bin.count > 0 && static_cast<double>(seen) >= wanted)
            return edge;
    }
    return edge;
}

std::vector<DurationHistogram::Bin> DurationHistogram::bins() const
{
    const auto &axis = this->data->histogram.axis();
    std::vector<Bin> result;
    result.reserve(static_cast<std::size_t>(axis.size()) + 2);
    for (int index = -1; index <= axis.size(); ++index) {
        const double edge = index < axis.size() ? axis.value(index + 1) : 0;
        const microseconds upperEdge =
                index < axis.size() ? microseconds(std::llround(edge * 1e6)) : microseconds::max();
        result.push_back(Bin{upperEdge, this->data->histogram.at(index)});
    }
    return result;
}

QJsonObject DurationHistogram::toJson() const
{
    QJsonArray counts;
    for (const Bin &bin : this->bins())
        counts.append(static_cast<qint64>(bin.count));
    return QJsonObject{
            {QStringLiteral("sumMicroseconds"), static_cast<qint64>(this->total.count())},
            {QStringLiteral("bins"), counts}};
}

DurationHistogram DurationHistogram::fromJson(const QJsonObject &json)
{
    DurationHistogram result;
    const QJsonArray counts = json.value(QStringLiteral("bins")).toArray();
    const int axisSize = result.data->histogram.axis().size();
    if (counts.size() != axisSize + 2)
        throw LacewingmuxError(ErrorKind::MalformedRequest,
                               QStringLiteral("bins: expected %1 counts").arg(axisSize + 2));

    for (int index = -1; index <= axisSize; ++index) {
        const qint64 binCount = counts.at(index + 1).toInteger(-1);
        if (binCount < 0)
            throw LacewingmuxError(ErrorKind::MalformedRequest,
                                   QStringLiteral("bins[%1]: expected a count").arg(index + 1));
        result.data->histogram.at(index) = static_cast<std::uint64_t>(binCount);
        result.data->count += static_cast<std::uint64_t>(binCount);
    }
    result.total = microseconds(json.value(QStringLiteral("sumMicroseconds")).toInteger());
    return result;
}

} // namespace lacewingmux
