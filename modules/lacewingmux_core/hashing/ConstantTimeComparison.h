#pragma once

#include <QByteArray>

namespace lacewingmux {

/** Compares secrets in a time that depends on their length alone, not on where they differ. */
[[nodiscard]] bool equalInConstantTime(const QByteArray &left, const QByteArray &right) noexcept;

} // namespace lacewingmux
