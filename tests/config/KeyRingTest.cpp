#include "lacewingmux_config/keys/KeyRing.h"
#include "lacewingmux_config/keys/IssuedKey.h"
#include "lacewingmux_config/records/RecordEditor.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <criterion/criterion.h>

using namespace lacewingmux;

Test(KeyRing, acceptsOnlyTheWholeKeyAndKeepsNoSecret)
{
    const IssuedKey issued = IssuedKey::make(QStringLiteral("accra"));
    const KeyRing ring(1, KeyRing().documentWith(issued.entry));
    const KeyVerdict verdict = ring.authenticate(issued.text);
    cr_assert(verdict.state == KeyState::Accepted);
    cr_assert(verdict.team == QLatin1String("accra"));
    QByteArray wrong = issued.text;
    wrong.back() = wrong.back() == 'A' ? 'B' : 'A';
    for (const QByteArray &text : {wrong, issued.text.chopped(1), QByteArray("lk_"), QByteArray(),
                                   issued.text.mid(3), QByteArray("lk_.")})
        cr_assert(ring.authenticate(text).state == KeyState::Unknown);
    const QByteArray kept =
            QJsonDocument(KeyRing().documentWith(issued.entry)).toJson(QJsonDocument::Compact);
    cr_assert_not(kept.contains(issued.text.mid(issued.text.indexOf('.') + 1)));
    cr_assert_geq(issued.text.size(), 3 + 16 + 1 + 43);
}

Test(KeyRing, namesTheKeysThatARevisionWithdraws)
{
    const IssuedKey first = IssuedKey::make(QStringLiteral("accra"));
    const IssuedKey second = IssuedKey::make(QStringLiteral("kumasi"));
    const KeyRing one(1, KeyRing().documentWith(first.entry));
    const KeyRing both(2, one.documentWith(second.entry));
    const KeyRing after(3, both.documentWithout(first.entry.keyId));
    cr_assert(after.withdrawnSince(both) == QStringList{first.entry.keyId});
    cr_assert(after.authenticate(first.text).state == KeyState::Withdrawn);
    cr_assert(after.authenticate(second.text).state == KeyState::Accepted);
    cr_assert(KeyRing(4, after.documentWith(IssuedKey::make(QStringLiteral("a")).entry))
                      .authenticate(first.text)
                      .state
              == KeyState::Withdrawn);
    cr_assert_throw(static_cast<void>(after.documentWithout(QStringLiteral("none"))),
                    LacewingmuxError);
}

Test(KeyRing, holdsThreeKeysForEachOfThirteenHundredTeamsInOneValue)
{
    constexpr int keyCount = 1300 * 3;
    QJsonArray keys;
    for (int index = 0; index < keyCount; ++index) {
        const IssuedKey issued = IssuedKey::make(QStringLiteral("team-with-a-name-%1").arg(index));
        const QJsonObject one = KeyRing().documentWith(issued.entry);
        keys.append(one.value(QLatin1String("keys")).toArray().first());
    }
    const KeyRing ring(1, {{QStringLiteral("keys"), keys}});
    cr_assert_eq(ring.entries().size(), static_cast<std::size_t>(keyCount));
    RevisionedRecord record;
    record.revision = 1;
    record.document = {{QStringLiteral("keys"), keys}};
    const qsizetype size = record.serialize().size();
    cr_log_info("%d keys take %lld bytes", keyCount, static_cast<long long>(size));
    cr_assert_lt(size, RecordEditor::valueLimitBytes);
}
