#include "lacewingmux_core/hashing/ConstantTimeComparison.h"

namespace lacewingmux {

bool equalInConstantTime(const QByteArray &left, const QByteArray &right) noexcept
{
    if (left.size() != right.size())
        return false;
    unsigned difference = 0;
    for (qsizetype index = 0; index < left.size(); ++index)
        difference |=
                static_cast<unsigned char>(left[index]) ^ static_cast<unsigned char>(right[index]);
    return difference == 0;
}

} // namespace lacewingmux
