#pragma once

#include <QString>

#include <functional>
#include <optional>

namespace lacewingmux {

/** What a numeric field means and which values it takes, both bounds included. */
struct NumberRule
{
    QString meaning;
    QString unit; ///< for example "ms" or "bytes"
    double minimum = 0;
    double maximum = 0;
    std::optional<double> fallback; ///< used when the field is absent; without one it is required
};

/** What a text field means and which values it takes. */
struct TextRule
{
    QString meaning;
    QString expected; ///< says in words what is accepted, for example "IP number"
    std::function<bool(const QString &)> accepts; ///< no function accepts every text
    std::optional<QString> fallback; ///< used when the field is absent; without one it is required
};

/** How many elements a list takes. */
struct ListRule
{
    QString meaning;
    qsizetype minimumCount = 0;
    qsizetype maximumCount = 0;
};

} // namespace lacewingmux
