#include "bytes/MutatedBytes.h"

#include <algorithm>

namespace lacewingmux {

MutatedBytes::MutatedBytes(std::uint64_t seed)
    : random(seed)
{ }

QByteArray MutatedBytes::damaged(const QByteArray &message, const QByteArray &other)
{
    constexpr int kinds = 5;
    constexpr qsizetype longestRun = 16; // bytes
    QByteArray bytes = message;
    const auto changes = 1 + this->below(4);
    for (qsizetype change = 0; change < changes && !bytes.isEmpty(); ++change) {
        const qsizetype at = this->below(bytes.size());
        switch (this->below(kinds)) {
        case 0:
            bytes[at] = static_cast<char>(this->below(256));
            break;
        case 1:
            bytes.truncate(at);
            break;
        case 2:
            bytes.remove(at, 1 + this->below(longestRun));
            break;
        case 3:
            bytes.insert(at, bytes.mid(this->below(bytes.size()), 1 + this->below(longestRun)));
            break;
        case 4:
            bytes.replace(at, 1 + this->below(longestRun),
                          other.mid(this->below(std::max<qsizetype>(1, other.size())),
                                    1 + this->below(longestRun)));
            break;
        }
    }
    return bytes;
}

qsizetype MutatedBytes::below(qsizetype limit)
{
    return std::uniform_int_distribution<qsizetype>(0, limit - 1)(this->random);
}

} // namespace lacewingmux
