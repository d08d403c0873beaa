#pragma once

#include "lacewingmux_scheduling/prefixes/RetentionAction.h"

namespace lacewingmux {

/** The naive twins of PrefixRetention: the same action whatever the pause and the pressure. */
class FixedRetention
{
public:
    explicit FixedRetention(RetentionAction fixedAction)
        : action(fixedAction)
    { }

    /** Returns the fixed action. */
    [[nodiscard]] RetentionAction decide() const noexcept
    {
        return this->action;
    }

private:
    RetentionAction action;
};

} // namespace lacewingmux
