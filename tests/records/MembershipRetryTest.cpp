#include "simulation/RecordsFleet.h"

#include <criterion/criterion.h>

using namespace lacewingmux;
using std::chrono::milliseconds;

// Guards against a retirement that is forgotten, as another change of the view failed at the same
// time.
Test(membership_retry, a_change_is_not_forgotten_when_another_one_fails)
{
    RecordsFleet fleet(4, 1);
    const QString name = QStringLiteral("r4");
    fleet.storeServer->setCut(name, true);
    RecordsMembership &membership = *fleet.recordsVms.at(name).membership;
    membership.beginLeaving();
    membership.removeSilentMember({QStringLiteral("r9"), QStringLiteral("zone-r9"), 99});
    fleet.run(milliseconds(3000));
    cr_assert(fleet.storedView().memberOnVm(name) != nullptr);
    fleet.storeServer->setCut(name, false);
    fleet.run(milliseconds(6000));
    cr_assert(fleet.recordsVms.at(name).hasLeft);
    cr_assert(fleet.storedView().memberOnVm(name) == nullptr);
}
