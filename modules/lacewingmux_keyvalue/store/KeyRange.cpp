#include "lacewingmux_keyvalue/store/KeyRange.h"

namespace lacewingmux {

namespace {

/** The end that stands for "all keys from begin on" in the store's protocol. */
const QByteArray endOfAllKeys(1, '\0');

} // namespace

KeyRange KeyRange::single(const QByteArray &key)
{
    return KeyRange{key, QByteArray()};
}

KeyRange KeyRange::withPrefix(const QByteArray &prefix)
{
    QByteArray end = prefix;
    while (!end.isEmpty()) {
        const auto last = static_cast<unsigned char>(end.back());
        if (last < 0xff) {
            end.back() = static_cast<char>(last + 1);
            return KeyRange{prefix, end};
        }
        end.chop(1);
    }
    return KeyRange{prefix.isEmpty() ? endOfAllKeys : prefix, endOfAllKeys};
}

bool KeyRange::contains(const QByteArray &key) const
{
    if (this->end.isEmpty())
        return key == this->begin;
    if (key < this->begin)
        return false;
    return this->end == endOfAllKeys || key < this->end;
}

} // namespace lacewingmux
