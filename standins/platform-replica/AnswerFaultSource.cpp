#include "platform-replica/AnswerFaultSource.h"

#include <QFile>

#include <utility>

namespace lacewingmux::standin {

namespace {

constexpr std::size_t fewKinds = 3;

} // namespace

AnswerFaultSource::AnswerFaultSource(QString fileName, int sharePercent, std::uint32_t seed)
    : file(std::move(fileName))
    , percent(sharePercent)
    , random(seed)
{
    std::uniform_int_distribution<int> drawn(1, static_cast<int>(FaultKind::NoAnswerBehind));
    if (std::uniform_int_distribution<int>(0, 1)(this->random) == 0) {
        for (int kind = drawn.min(); kind <= drawn.max(); ++kind)
            this->kinds.push_back(static_cast<FaultKind>(kind));
    }
    while (this->kinds.size() < fewKinds)
        this->kinds.push_back(static_cast<FaultKind>(drawn(this->random)));
}

AnswerFault AnswerFaultSource::next()
{
    if (this->file.isEmpty() || !QFile::exists(this->file))
        return {};
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    std::uniform_int_distribution<std::size_t> index(0, this->kinds.size() - 1);
    // Drawn for each answer, so that one answer's fault does not depend on those before it.
    const bool isSpoilt = unit(this->random) * 100.0 < this->percent;
    AnswerFault fault{this->kinds[index(this->random)], unit(this->random), unit(this->random)};
    if (!isSpoilt)
        fault.kind = FaultKind::None;
    return fault;
}

} // namespace lacewingmux::standin
