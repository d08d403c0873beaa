#include "lacewingmux_gateway/forwarding/StreamEvents.h"

#include <criterion/criterion.h>

using namespace lacewingmux;

Test(stream_events, passes_whole_events_only)
{
    StreamEvents events;
    cr_assert(events.append("id: 1\ndata: a").isEmpty());
    cr_assert(events.append("b\n").isEmpty());
    cr_assert(events.append("\nid: 2\nda") == "id: 1\ndata: ab\n\n");
    cr_assert(events.isWithinEvent());
    cr_assert(events.append("ta: c\n\n") == "id: 2\ndata: c\n\n");
    cr_assert_eq(events.count(), 2);
    cr_assert(events.lastId() == "2");
    cr_assert(events.data() == "ab\nc\n");
}

Test(stream_events, is_the_same_however_the_bytes_are_cut)
{
    const QByteArray text =
            "id: 1\r\ndata: a\r\n\r\nx-version: 3\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    for (qsizetype cut = 1; cut < text.size(); ++cut) {
        StreamEvents events;
        QByteArray passed = events.append(text.left(cut));
        passed += events.append(text.mid(cut));
        cr_assert(passed == text, "cut at %d", static_cast<int>(cut));
        cr_assert_eq(events.count(), 3);
        cr_assert(events.data() == "a\nb\nc\n");
    }
}

Test(stream_events, forgets_a_partial_event_before_it_goes_on_elsewhere)
{
    StreamEvents events;
    const QByteArray first = events.append("id: 1\ndata: a\n\nid: 2\ndata: brok");
    events.dropPartialEvent();
    const QByteArray second = events.append("id: 2\ndata: b\n\n");
    cr_assert(first + second == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    cr_assert(events.data() == "a\nb\n");
}
