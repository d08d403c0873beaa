#include "platform-replica/AnswerFaultSource.h"

#include <QFile>

#include <utility>

namespace lacewingmux::standin {

AnswerFaultSource::AnswerFaultSource(QString fileName, int sharePercent, std::uint32_t seed)
    : file(std::move(fileName))
    , percent(sharePercent)
    , random(seed)
{ }

AnswerFault AnswerFaultSource::next()
{
    if (this->file.isEmpty() || !QFile::exists(this->file))
        return {};
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    std::uniform_int_distribution<int> kinds(1, static_cast<int>(FaultKind::NoAnswerBehind));
    // Drawn for each answer, so that one answer's fault does not depend on those before it.
    const bool isSpoilt = unit(this->random) * 100.0 < this->percent;
    AnswerFault fault{static_cast<FaultKind>(kinds(this->random)), unit(this->random),
                      unit(this->random)};
    if (!isSpoilt)
        fault.kind = FaultKind::None;
    return fault;
}

} // namespace lacewingmux::standin
