#pragma once

#include "platform-replica/AnswerFault.h"

#include <QString>

#include <cstdint>
#include <random>
#include <vector>

namespace lacewingmux::standin {

/** Draws which answers of a replica are spoilt, and how, while a file exists. */
class AnswerFaultSource
{
public:
    /** Spoils none if no file is named. The seed draws whether all kinds of faults come or three.
     */
    AnswerFaultSource(QString fileName, int sharePercent, std::uint32_t seed);

    [[nodiscard]] AnswerFault next();

private:
    QString file;
    int percent;
    std::mt19937 random;
    std::vector<FaultKind> kinds;
};

} // namespace lacewingmux::standin
