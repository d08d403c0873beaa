#include "lacewingmux_core/ids/AggregateId.h"
#include "lacewingmux_core/ids/MintedId.h"

#include <criterion/criterion.h>

#include <set>

using namespace lacewingmux;

Test(MintedId, survivesItsTextForm)
{
    const MintedId id(QStringLiteral("bogota-a"), 17, QStringLiteral("vm-1"), 1234567890123ULL, 99);
    const auto parsed = MintedId::parse(id.toString());
    cr_assert(parsed.has_value());
    cr_assert(*parsed == id);
}

Test(MintedId, refusesOtherTexts)
{
    for (const char *text : {"", "~~~~", "a~b", "zone~1~2~vm~%%", "zone~1~2~~3"})
        cr_assert_not(MintedId::parse(QString::fromLatin1(text)).has_value(), "%s", text);
}

Test(AggregateId, spreadsOverAllSlots)
{
    std::set<SlotIndex> slots;
    for (int index = 0; index < 20 * slotsPerZone; ++index)
        slots.insert(
                AggregateId(AggregateKind::Program, QStringLiteral("z"), QString::number(index))
                        .slot());
    cr_assert_eq(slots.size(), slotsPerZone);
}
