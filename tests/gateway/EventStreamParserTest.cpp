#include "lacewingmux_gateway/forwarding/EventStreamParser.h"

#include <criterion/criterion.h>

using namespace lacewingmux;

Test(event_stream_parser, forwards_complete_events_only)
{
    EventStreamParser events;
    cr_assert(events.append("id: 1\ndata: a").isEmpty());
    cr_assert(events.append("b\n").isEmpty());
    cr_assert(events.append("\nid: 2\nda") == "id: 1\ndata: ab\n\n");
    cr_assert(events.hasPartialEvent());
    cr_assert(events.append("ta: c\n\n") == "id: 2\ndata: c\n\n");
    cr_assert_eq(events.count(), 2);
    cr_assert(events.lastId() == "2");
    cr_assert(events.data() == "ab\nc\n");
}

Test(event_stream_parser, gives_the_same_result_for_any_split_of_the_bytes)
{
    const QByteArray text =
            "id: 1\r\ndata: a\r\n\r\nx-version: 3\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    for (qsizetype cut = 1; cut < text.size(); ++cut) {
        EventStreamParser events;
        QByteArray passed = events.append(text.left(cut));
        passed += events.append(text.mid(cut));
        cr_assert(passed == text, "cut at %d", static_cast<int>(cut));
        cr_assert_eq(events.count(), 3);
        cr_assert(events.data() == "a\nb\nc\n");
    }
}

Test(event_stream_parser, discards_a_partial_event_before_resuming)
{
    EventStreamParser events;
    const QByteArray first = events.append("id: 1\ndata: a\n\nid: 2\ndata: brok");
    events.dropPartialEvent();
    const QByteArray second = events.append("id: 2\ndata: b\n\n");
    cr_assert(first + second == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    cr_assert(events.data() == "a\nb\n");
}
