#include "lacewingmux_daemon/assembly/StatusDocument.h"
#include "lacewingmux_allowance/shares/ShareTable.h"

#include <QJsonObject>

#include <criterion/criterion.h>

using namespace lacewingmux;

Test(StatusDocument, showsSharesAsFractionsOfTheWhole)
{
    ShareTable table;
    table.countersByItem[ShareItem::team(QStringLiteral("accra"))] = {partsPerItem / 2, 0,
                                                                      partsPerItem / 4};
    const QJsonArray shares = sharesToStatus(table);
    cr_assert_eq(shares.size(), 1);
    const QJsonObject share = shares.at(0).toObject();
    cr_assert(share.value(QStringLiteral("name")).toString() == QStringLiteral("accra"));
    cr_assert_float_eq(share.value(QStringLiteral("share")).toDouble(), 0.25, 1e-9);
}
