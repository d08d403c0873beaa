#include "lacewingmux_config/keys/KeyRegister.h"
#include "lacewingmux_config/keys/KeyRing.h"
#include "lacewingmux_core/time/ManualTimerService.h"
#include "lacewingmux_keyvalue/memory/InMemoryPlatformStore.h"

#include <criterion/criterion.h>

#include <memory>

using namespace lacewingmux;
using namespace std::chrono_literals;

namespace {

const KeyRegister::Time now{std::chrono::hours(500000)};

/** A register over an in-memory store, with the ring that a VM would have from it. */
struct RegisterOverStore
{
    KeyText issue(const char *team)
    {
        KeyText result;
        bool done = false;
        this->keys.issue(QString::fromLatin1(team), now,
                         [&](const auto &error, const KeyText &text) {
                             cr_assert_not(error.has_value());
                             result = text;
                             done = true;
                         });
        this->timers.advance(60s);
        cr_assert(done);
        return result;
    }

    std::optional<LacewingmuxError> withdraw(const QString &keyId)
    {
        std::optional<LacewingmuxError> result;
        bool done = false;
        this->keys.withdraw(keyId, now, [&](const auto &error) {
            result = error;
            done = true;
        });
        this->timers.advance(60s);
        cr_assert(done);
        return result;
    }

    std::shared_ptr<const KeyRing> ring()
    {
        auto result = std::make_shared<const KeyRing>();
        this->store.readPrefix(KeyShard::storePrefix, [&result](const auto &records) {
            for (const StoreRecord &record : *records) {
                const int index = KeyShard::indexFor(QString::fromLatin1(record.key.right(1)));
                if (const auto newer = result->withShard(KeyShard::fromJson(index, record.value)))
                    result = newer;
            }
        });
        this->timers.advance(60s);
        return result;
    }

    ManualTimerService timers;
    std::shared_ptr<InMemoryStoreServer> server =
            std::make_shared<InMemoryStoreServer>(this->timers);
    InMemoryPlatformStore store{this->server, QStringLiteral("operator")};
    KeyRegister keys{this->store};
};

} // namespace

Test(KeyRing, judgesKeysByTheirSecret)
{
    RegisterOverStore keys;
    const KeyText first = keys.issue("accra");
    const KeyText second = keys.issue("kumasi");
    const auto ring = keys.ring();

    cr_assert(ring->authenticate(first.toText()).status == KeyStatus::Valid);
    cr_assert(ring->authenticate(second.toText()).team == QStringLiteral("kumasi"));
    const KeyText mixed{first.keyId, second.secret};
    cr_assert(ring->authenticate(mixed.toText()).status == KeyStatus::Unknown);
    cr_assert(ring->authenticate("lk_").status == KeyStatus::Unknown);
    cr_assert(ring->authenticate(first.toText() + 'x').status == KeyStatus::Unknown);
}

Test(KeyRing, neverTakesAnOlderRevision)
{
    RegisterOverStore keys;
    const KeyText key = keys.issue("accra");
    const auto before = keys.ring();
    cr_assert_not(keys.withdraw(key.keyId).has_value());
    const auto after = keys.ring();

    const int index = KeyShard::indexFor(key.keyId);
    cr_assert_null(after->withShard(*before->shard(index)).get());
    cr_assert(after->authenticate(key.toText()).status == KeyStatus::Withdrawn);
    cr_assert(before->withdrawnIn(*after) == std::vector<QString>{key.keyId});
}

Test(KeyRegister, refusesToWithdrawAnUnknownKey)
{
    RegisterOverStore keys;
    const auto error = keys.withdraw(QStringLiteral("0123456789abcdef"));
    cr_assert(error.has_value());
    cr_assert(error->kind() == ErrorKind::ConfigurationInvalid);
}

Test(KeyRegister, storesNoSecret)
{
    RegisterOverStore keys;
    const KeyText key = keys.issue("accra");
    keys.store.readPrefix("", [&key](const auto &records) {
        for (const StoreRecord &record : *records)
            cr_assert_not(record.value.contains(key.secret));
    });
    keys.timers.advance(60s);
}

// The list was read in a callback of the store that let the exception pass, which ended the
// process.
Test(KeyRegister, listsTheKeysBesideAnUnreadableShard)
{
    for (const QByteArray &odd :
         {QByteArray("7"), QByteArray("[]"), QByteArray(2000, '['), QByteArray("\x80"),
          QByteArray(R"({"revision":1,"keys":[{}]})"), QByteArray(R"({"revision":1,"keys":[7]})"),
          QByteArray(R"({"revision":-1,"keys":[{"id":"a","salt":"00","digest":"00"}]})")}) {
        RegisterOverStore keys;
        const KeyText key = keys.issue("accra");
        const int other = (KeyShard::indexFor(key.keyId) + 1) % 16;
        keys.store.compareAndSwap(KeyShard::storeKey(other), 0, odd, [](const auto &) {});
        keys.timers.advance(60s);
        std::optional<std::vector<KeyRecord>> found;
        keys.keys.list([&found](const auto &all) { found = all; });
        keys.timers.advance(60s);
        cr_assert(found && found->size() == 1, "%s", odd.left(100).constData());
        cr_assert(found->front().keyId == key.keyId);
    }
}

// Such a time overflowed, so that the key could be withdrawn before it was issued.
Test(KeyRegister, boundsTimesThatCannotBeRight)
{
    for (const char *seconds : {"9223372036854775807", "-9223372036854775808", "-1"}) {
        const KeyShard shard = KeyShard::fromJson(
                1, QByteArray(R"({"revision":1,"keys":[{"id":"a","salt":"00","digest":"00",)")
                           + R"("issued":)" + seconds + R"(,"withdrawn":)" + seconds + "}]}");
        const auto issued = shard.keys.front().issued.time_since_epoch();
        cr_expect_geq(issued.count(), 0, "%s", seconds);
        cr_expect_leq(issued / 1h, std::int64_t{24} * 366 * 290, "%s", seconds);
        cr_expect(*shard.keys.front().withdrawn + std::chrono::hours(24 * 366)
                          > *shard.keys.front().withdrawn,
                  "%s", seconds);
    }
}

Test(KeyRegister, settlesALostReplyByReading)
{
    RegisterOverStore keys;
    keys.server->loseWriteReplies(1);
    const KeyText key = keys.issue("accra");
    cr_assert(keys.ring()->authenticate(key.toText()).status == KeyStatus::Valid);
    keys.server->loseWriteReplies(1);
    cr_assert_not(keys.withdraw(key.keyId).has_value());
    const auto ring = keys.ring();
    cr_assert(ring->authenticate(key.toText()).status == KeyStatus::Withdrawn);
    cr_assert_eq(ring->revision(KeyShard::indexFor(key.keyId)), 2,
                 "each change is one revision, also when its reply was lost");
}

Test(KeyRegister, losesNoKeyWhenOperatorsRace)
{
    RegisterOverStore keys;
    InMemoryPlatformStore otherStore(keys.server, QStringLiteral("other operator"));
    KeyRegister other(otherStore);
    constexpr std::size_t keysOfEach = 40;
    std::vector<KeyText> issued;
    const auto collect = [&issued](const auto &error, const KeyText &text) {
        cr_assert_not(error.has_value());
        issued.push_back(text);
    };
    for (std::size_t index = 0; index < keysOfEach; ++index) {
        keys.keys.issue(QStringLiteral("accra"), now, collect);
        other.issue(QStringLiteral("kumasi"), now, collect);
        if (index % 4 == 0)
            keys.timers.advance(10ms);
    }
    keys.timers.advance(600s);

    cr_assert_eq(issued.size(), 2 * keysOfEach);
    const auto ring = keys.ring();
    for (const KeyText &key : issued)
        cr_assert(ring->authenticate(key.toText()).status == KeyStatus::Valid);
}
