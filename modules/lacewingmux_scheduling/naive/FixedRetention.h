#pragma once

#include "lacewingmux_scheduling/prefixes/RetentionAction.h"

namespace lacewingmux {

/** Baseline for PrefixRetention: the same action regardless of pause and memory pressure. */
class FixedRetention
{
public:
    explicit FixedRetention(RetentionAction fixedAction)
        : action(fixedAction)
    { }

    /** Returns the configured action. */
    [[nodiscard]] RetentionAction decide() const noexcept
    {
        return this->action;
    }

private:
    RetentionAction action;
};

} // namespace lacewingmux
