#include "lacewingmux_gateway/forwarding/EventStreamParser.h"
#include "lacewingmux_gateway/forwarding/DeliveredStream.h"

#include <criterion/criterion.h>

using namespace lacewingmux;

Test(event_stream_parser, forwards_complete_events_only)
{
    EventStreamParser events;
    DeliveredStream delivered;
    cr_assert(events.append("id: 1\ndata: a", delivered.sequence()).text.isEmpty());
    cr_assert(events.append("b\n", delivered.sequence()).text.isEmpty());
    const StreamEvents first = events.append("\nid: 2\nda", delivered.sequence());
    cr_assert(first.text == "id: 1\ndata: ab\n\n");
    delivered.append(first);
    cr_assert_eq(events.partialBytes(), 8);
    const StreamEvents second = events.append("ta: c\n\n", delivered.sequence());
    cr_assert(second.text == "id: 2\ndata: c\n\n");
    delivered.append(second);
    cr_assert_eq(delivered.count(), 2);
    cr_assert(delivered.lastId() == "2");
    cr_assert(delivered.data() == "ab\nc\n");
}

Test(event_stream_parser, gives_the_same_result_for_any_split_of_the_bytes)
{
    const QByteArray text =
            "id: 1\r\ndata: a\r\n\r\nx-version: 3\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    for (qsizetype cut = 1; cut < text.size(); ++cut) {
        EventStreamParser events;
        DeliveredStream delivered;
        const StreamEvents first = events.append(text.left(cut), delivered.sequence());
        const StreamEvents second = events.append(text.mid(cut), delivered.sequence());
        delivered.append(first);
        delivered.append(second);
        cr_assert(first.text + second.text == text, "cut at %d", static_cast<int>(cut));
        cr_assert_eq(delivered.count(), 3);
        cr_assert(delivered.data() == "a\nb\nc\n");
    }
}

Test(event_stream_parser, discards_a_partial_event_before_resuming)
{
    EventStreamParser first;
    EventStreamParser second;
    DeliveredStream delivered;
    const StreamEvents before =
            first.append("id: 1\ndata: a\n\nid: 2\ndata: brok", delivered.sequence());
    const StreamEvents after = second.append("id: 2\ndata: b\n\n", delivered.sequence());
    delivered.append(before);
    delivered.append(after);
    cr_assert(before.text + after.text == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    cr_assert(delivered.data() == "a\nb\n");
}

Test(event_stream_parser, searches_events_behind_one_that_is_held_only_once)
{
    // All of them again for each piece would take hours.
    constexpr int pieces = 200000;
    EventStreamParser events;
    DeliveredStream delivered;
    cr_assert(delivered.sequence().accept("1"));
    delivered.sequence().resume();
    cr_assert(events.append("id: 7\ndata: a\n\n", delivered.sequence()).text.isEmpty());
    const QByteArray piece = "data: without an id\n\n";
    for (int number = 0; number < pieces; ++number)
        cr_assert(events.append(piece, delivered.sequence()).text.isEmpty());
    const StreamEvents released = events.append("id: 9\ndata: b\n\n", delivered.sequence());
    cr_assert_eq(released.count, pieces + 2);
    cr_assert_eq(events.partialBytes(), 0);
}

Test(event_stream_parser, finds_the_id_behind_an_event_that_is_held_for_any_split)
{
    const QByteArray text = "id: 7\ndata: a\n\n: x\n\ndata: b\n\nid: 8\ndata: c\n\n";
    for (qsizetype cut = 1; cut < text.size(); ++cut) {
        EventStreamParser events;
        DeliveredStream delivered;
        cr_assert(delivered.sequence().accept("1"));
        delivered.sequence().resume();
        const StreamEvents first = events.append(text.left(cut), delivered.sequence());
        const StreamEvents second = events.append(text.mid(cut), delivered.sequence());
        cr_assert(first.text.isEmpty() && second.text.isEmpty());
        cr_assert(events.isOutOfSequence(), "cut at %d", static_cast<int>(cut));
    }
}
