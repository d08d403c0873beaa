#include "lacewingmux_relay/store/RelayedTopic.h"

#include "lacewingmux_relay/messages/RelayCodec.h"

#include <criterion/criterion.h>

#include <random>

using namespace lacewingmux;

namespace {

StoreRecord written(const QByteArray &key, std::int64_t revision, const QByteArray &value = "v")
{
    return {key, value, 1, revision, 0};
}

StoreRecord deleted(const QByteArray &key, std::int64_t revision)
{
    return {key, {}, 0, revision, 0};
}

} // namespace

Test(relayed_topic, ignores_changes_that_are_not_newer)
{
    RelayedTopic topic("servers/");
    cr_assert(topic.apply(written("servers/a", 10)));
    cr_assert_not(topic.apply(written("servers/a", 10)));
    cr_assert_not(topic.apply(written("servers/a", 9)));
    cr_assert(topic.apply(written("servers/a", 11)));
}

Test(relayed_topic, a_lagging_relay_does_not_restore_a_deleted_key)
{
    RelayedTopic topic("servers/");
    topic.apply(written("servers/a", 10));
    cr_assert(topic.apply(deleted("servers/a", 20)));
    const RelayUpdate late{"servers/", 15, true, {written("servers/a", 10)}};
    cr_assert(topic.apply(late).empty());
    cr_assert(topic.records().empty());
    cr_assert(topic.apply(written("servers/a", 21)), "the key was created again");
}

Test(relayed_topic, a_full_update_deletes_only_keys_that_the_relay_has_seen)
{
    RelayedTopic topic("servers/");
    topic.apply(written("servers/old", 10));
    topic.apply(written("servers/new", 30));
    const std::vector<StoreRecord> changes = topic.apply(RelayUpdate{"servers/", 20, true, {}});
    cr_assert_eq(changes.size(), 1);
    cr_assert(changes.front().key == "servers/old");
    cr_assert_eq(changes.front().createRevision, 0);
    cr_assert_eq(topic.keys().size(), 1);
    cr_assert_eq(topic.revision(), 20);
}

Test(relayed_topic, reports_no_changes_that_do_not_matter)
{
    RelayedTopic topic("servers/", [](const StoreRecord &before, const StoreRecord &after) {
        return before.value != after.value;
    });
    cr_assert(topic.apply(written("servers/a", 1, "x")));
    cr_assert_not(topic.apply(written("servers/a", 2, "x")));
    cr_assert(topic.apply(written("servers/a", 3, "y")));
    cr_assert(topic.apply(deleted("servers/a", 4)));
    cr_assert(topic.apply(written("servers/a", 5, "y")), "it exists again");
}

Test(relayed_topic, remembers_a_bounded_number_of_deletions)
{
    RelayedTopic topic("servers/");
    for (std::int64_t number = 1; number <= 20000; ++number) {
        const QByteArray key = "servers/" + QByteArray::number(static_cast<qlonglong>(number));
        topic.apply(written(key, 2 * number));
        topic.apply(deleted(key, 2 * number + 1));
    }
    cr_assert_not(topic.apply(written("servers/20000", 40000)), "a recent deletion is remembered");
    cr_assert(topic.apply(written("servers/1", 2)), "an old one is forgotten");
}

// A relay of an earlier build passes items on that name no key below the prefix.
Test(relayed_topic, ignores_records_of_no_key_below_its_prefix)
{
    const std::vector<QByteArray> foreign{"", "servers", "other/a", "Servers/a"};
    RelayedTopic topic("servers/");
    topic.apply(written("servers/a", 10));
    for (const QByteArray &key : foreign) {
        cr_expect_not(topic.apply(written(key, 20)), "%s", key.constData());
        cr_expect_not(topic.apply(deleted(key, 20)), "%s", key.constData());
        const RelayUpdate full{"servers/", 20, true, {written(key, 20), written("servers/a", 10)}};
        cr_expect(topic.apply(full).empty(), "%s", key.constData());
    }
    cr_assert_eq(topic.records().size(), 1);
}

// A record without a valid revision replaced none of a known key, but stood for one of a new key.
Test(relayed_topic, ignores_records_without_a_revision)
{
    RelayedTopic topic("servers/");
    topic.apply(written("servers/a", 10));
    for (const std::int64_t revision : {std::int64_t{0}, std::int64_t{-1}, INT64_MIN}) {
        cr_expect_not(topic.apply(written("servers/b", revision)));
        cr_expect_not(topic.apply(deleted("servers/a", revision)));
        cr_expect(topic.apply(RelayUpdate{"servers/", revision, false, {}}).empty());
    }
    cr_assert_eq(topic.records().size(), 1);
    cr_assert_eq(topic.revision(), 0);
}

Test(relay_codec, rejects_damaged_payloads)
{
    const QByteArray update = RelayCodec::encodeUpdate(
            {"servers/", 20, true, {written("servers/a", 10), deleted("servers/b", 12)}});
    const auto decoded = RelayCodec::decodeUpdate(update);
    cr_assert(decoded && decoded->isFull && decoded->records.size() == 2);
    cr_assert_eq(decoded->records[1].createRevision, 0);
    std::mt19937 random(1);
    for (int round = 0; round < 20000; ++round) {
        QByteArray damaged = update.left(static_cast<qsizetype>(random() % update.size()) + 1);
        const int flips = static_cast<int>(random() % 4);
        for (int flip = 0; flip < flips; ++flip)
            damaged[static_cast<qsizetype>(random() % damaged.size())] =
                    static_cast<char>(random());
        (void)RelayCodec::decodeUpdate(damaged); // must not crash
        (void)RelayCodec::decodeStatus(damaged);
    }
}
