#pragma once

#include <QByteArray>

namespace lacewingmux {

/** A half-open range of keys in the order of their bytes. An empty end means one single key. */
struct KeyRange
{
    QByteArray begin;
    QByteArray end;

    /** Returns the range that holds just this key. */
    [[nodiscard]] static KeyRange single(const QByteArray &key);

    /** Returns the range of all keys that start with the prefix. */
    [[nodiscard]] static KeyRange withPrefix(const QByteArray &prefix);

    [[nodiscard]] bool contains(const QByteArray &key) const;

    friend bool operator==(const KeyRange &, const KeyRange &) = default;
};

} // namespace lacewingmux
