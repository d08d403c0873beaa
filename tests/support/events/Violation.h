#pragma once

#include <QString>

/** One broken invariant, with what a person needs to find it. */
struct Violation
{
    QString rule;
    QString detail;
};
