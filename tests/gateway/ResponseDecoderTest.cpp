#include "lacewingmux_gateway/http/ResponseDecoder.h"

#include <criterion/criterion.h>

using namespace lacewingmux;

Test(response_decoder, gives_the_body_as_it_comes)
{
    ResponseDecoder decoder(false);
    decoder.append("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab");
    cr_assert(decoder.state() == DecodeState::Body);
    cr_assert(decoder.takeBody() == "ab");
    decoder.append("c\r\n0\r\n\r\n");
    cr_assert(decoder.takeBody() == "c");
    cr_assert(decoder.state() == DecodeState::Complete);
}

Test(response_decoder, keeps_what_follows_the_answer_apart)
{
    ResponseDecoder decoder(false);
    decoder.append("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n");
    cr_assert(decoder.state() == DecodeState::Complete);
    cr_assert(decoder.takeBody() == "a");
    cr_assert(decoder.takeTrailingBytes() == "HTTP/1.1 200 OK\r\n");
}

Test(response_decoder, passes_over_interim_answers)
{
    ResponseDecoder decoder(false);
    decoder.append("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");
    cr_assert(decoder.state() == DecodeState::Complete);
    cr_assert_eq(decoder.head().status, 204);
}

Test(response_decoder, ends_an_open_body_with_the_connection)
{
    ResponseDecoder decoder(false);
    decoder.append("HTTP/1.1 200 OK\r\n\r\nabc");
    cr_assert(decoder.state() == DecodeState::Body);
    cr_assert(decoder.head().bodyEndsAtClose);
    decoder.appendEnd();
    cr_assert(decoder.state() == DecodeState::Complete);
    cr_assert(decoder.takeBody() == "abc");
}

Test(response_decoder, notices_a_short_body)
{
    ResponseDecoder decoder(false);
    decoder.append("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
    decoder.appendEnd();
    cr_assert(decoder.state() == DecodeState::Malformed);
}

Test(response_decoder, refuses_what_is_no_answer)
{
    ResponseDecoder decoder(false);
    decoder.append("\x01\x02garbage\r\n\r\n");
    cr_assert(decoder.state() == DecodeState::Malformed);
}
