#include "engine/library/Sequence.h"

namespace lacewingmux::standin {

QString Sequence::token(std::int64_t index) const
{
    const QString last = this->prompt.isEmpty() ? QString() : this->prompt.last();
    return index == 0 ? QStringLiteral("answer-to-%1").arg(last)
                      : QStringLiteral("word%1").arg(index);
}

} // namespace lacewingmux::standin
