#pragma once

#include "platform-replica/AnswerFault.h"

#include <QString>

#include <cstdint>
#include <random>

namespace lacewingmux::standin {

/** Draws which answers of a replica are spoilt, and how, while a file exists. */
class AnswerFaultSource
{
public:
    /** Spoils none if no file is named. */
    AnswerFaultSource(QString fileName, int sharePercent, std::uint32_t seed);

    [[nodiscard]] AnswerFault next();

private:
    QString file;
    int percent;
    std::mt19937 random;
};

} // namespace lacewingmux::standin
