#include "lacewingmux_gateway/forwarding/EventSequence.h"

#include <criterion/criterion.h>

using namespace lacewingmux;

namespace {

/** Returns the number of ids that are accepted before the first one that is not. */
int acceptedOf(EventSequence &sequence, std::initializer_list<const char *> ids)
{
    int accepted = 0;
    for (const char *id : ids) {
        if (!sequence.accept(id))
            break;
        ++accepted;
    }
    return accepted;
}

} // namespace

Test(event_sequence, accepts_ascending_ids_only)
{
    EventSequence sequence;
    cr_assert_eq(acceptedOf(sequence, {"1", "2", "5", "9", "9"}), 4);
    cr_assert(!sequence.accept("3"));
    cr_assert(sequence.accept("10"), "an id that was refused is not recorded");
}

Test(event_sequence, refuses_a_resumed_stream_that_starts_anew_or_leaves_a_gap)
{
    for (const char *next : {"1", "3", "5"}) {
        EventSequence sequence;
        cr_assert_eq(acceptedOf(sequence, {"1", "2", "3"}), 3);
        sequence.resume();
        cr_assert(!sequence.accept(next), "%s", next);
        cr_assert(sequence.accept("4"));
    }
}

Test(event_sequence, expects_no_gapless_ids_where_there_were_gaps_before)
{
    EventSequence sequence;
    cr_assert_eq(acceptedOf(sequence, {"10", "20", "21"}), 3);
    sequence.resume();
    cr_assert(sequence.accept("30"));
}

Test(event_sequence, does_not_compare_what_is_no_number)
{
    EventSequence sequence;
    cr_assert_eq(acceptedOf(sequence, {"b", "a", "", "7", "x", "3", "99999999999999999999"}), 7);
}

// A sum beyond the largest number is undefined, and ends a daemon that is built with sanitizers.
Test(event_sequence, ends_at_the_largest_number)
{
    EventSequence sequence;
    cr_assert_eq(acceptedOf(sequence, {"9223372036854775807"}), 1);
    for (const char *next : {"-9223372036854775808", "1", "9223372036854775807"})
        cr_assert(!sequence.accept(next), "%s", next);
}

// One event, or the id that the caller names, does not show whether the ids count up by one.
Test(event_sequence, notices_a_gap_behind_a_single_event_by_the_event_that_follows_it)
{
    EventSequence sequence;
    cr_assert(sequence.accept("7"));
    sequence.resume();
    cr_assert(!sequence.dependsOnNext("8"));
    cr_assert(sequence.dependsOnNext("9"));
    cr_assert(!sequence.acceptBefore("9", "10"));
    cr_assert(sequence.acceptBefore("9", "11"), "these ids do not count up by one");
    cr_assert(!sequence.dependsOnNext("20"));
}

Test(event_sequence, waits_for_no_event_where_the_ids_are_known_to_have_gaps)
{
    EventSequence sequence;
    cr_assert_eq(acceptedOf(sequence, {"10", "20"}), 2);
    sequence.resume();
    cr_assert(!sequence.dependsOnNext("30"));
}
