#include "lacewingmux_backend/clients/StreamSequence.h"

#include "lacewingmux_backend/clients/EventStreamReader.h"

#include <criterion/criterion.h>

using namespace lacewingmux;

namespace {

StreamEvent parse(const QByteArray &text)
{
    const auto events = EventStreamReader().append(text + "\n\n");
    cr_assert_eq(events.size(), 1U);
    return events.front();
}

StreamEvent outputOf(const QByteArray &id, int sequence)
{
    return parse(R"(data: {"id":")" + id + R"(","sequence":)" + QByteArray::number(sequence)
                 + R"(,"choices":[{"index":0,"delta":{"content":"a"}}]})");
}

} // namespace

Test(StreamSequence, takesEachNumberOnceAndInOrder)
{
    StreamSequence sequence;
    cr_assert(sequence.accept(outputOf("c", 0), false) == EventVerdict::Accept);
    cr_assert(sequence.accept(outputOf("c", 0), true) == EventVerdict::Skip);
    cr_assert(sequence.accept(outputOf("c", 2), true) == EventVerdict::Unusable);
    cr_assert(sequence.accept(outputOf("c", 1), true) == EventVerdict::Accept);
    cr_assert_eq(sequence.nextNumber(), 2);
}

// Guards against output of another run under the same request id that continues a stream.
Test(StreamSequence, isNotContinuedByAnotherCompletion)
{
    StreamSequence sequence;
    cr_assert(sequence.accept(outputOf("c", 0), false) == EventVerdict::Accept);
    cr_assert(sequence.accept(outputOf("d", 1), true) == EventVerdict::Unusable);

    StreamSequence varying;
    cr_assert(varying.accept(outputOf("c", 0), false) == EventVerdict::Accept);
    cr_assert(varying.accept(outputOf("d", 1), false) == EventVerdict::Accept);
    cr_assert(varying.accept(outputOf("e", 2), true) == EventVerdict::Accept);
}

Test(StreamSequence, isContinuedByUnnumberedEventsWithoutOutput)
{
    const QByteArray output = R"(data: {"choices":[{"index":0,"delta":{"content":"a"}}]})";
    const QByteArray finish =
            R"(data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]})";
    for (const QByteArray &text :
         {finish, QByteArray(R"(data: {"choices":[],"usage":{"prompt_tokens":1}})"),
          QByteArray(": keep-alive"), QByteArray("event: ping\ndata:"), QByteArray("data: [DONE]")})
        cr_assert(StreamSequence().accept(parse(text), true) == EventVerdict::Accept, "%s",
                  text.constData());
    cr_assert(StreamSequence().accept(parse(output), false) == EventVerdict::Accept);
    cr_assert(StreamSequence().accept(parse(output), true) == EventVerdict::Unusable);
}

Test(StreamSequence, takesNoBytesThatAreNoEvent)
{
    for (const char *text :
         {"HTTP/1.1 200 OK\nContent-Type: text/event-stream", "data: {\"a\":1}\nHTTP/1.1 200 OK",
          "data: {\"aHTTP/1.1 200 OK", "dataHTTP/1.1 200 OK", "<html>", "data: text"})
        cr_assert(StreamSequence().accept(parse(text), false) == EventVerdict::Unusable, "%s",
                  text);
}
