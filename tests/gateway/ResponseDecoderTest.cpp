#include "lacewingmux_gateway/http/ResponseDecoder.h"

#include <criterion/criterion.h>

using namespace lacewingmux;

Test(response_decoder, returns_the_body_as_it_arrives)
{
    ResponseDecoder decoder(false);
    decoder.append("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab");
    cr_assert(decoder.state() == DecodeState::Body);
    cr_assert(decoder.takeBody() == "ab");
    decoder.append("c\r\n0\r\n\r\n");
    cr_assert(decoder.takeBody() == "c");
    cr_assert(decoder.state() == DecodeState::Complete);
}

Test(response_decoder, separates_bytes_after_the_response)
{
    ResponseDecoder decoder(false);
    decoder.append("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n");
    cr_assert(decoder.state() == DecodeState::Complete);
    cr_assert(decoder.takeBody() == "a");
    cr_assert(decoder.takeTrailingBytes() == "HTTP/1.1 200 OK\r\n");
}

Test(response_decoder, skips_interim_responses)
{
    ResponseDecoder decoder(false);
    decoder.append("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");
    cr_assert(decoder.state() == DecodeState::Complete);
    cr_assert_eq(decoder.head().status, 204);
}

Test(response_decoder, ends_a_body_without_length_at_the_close)
{
    ResponseDecoder decoder(false);
    decoder.append("HTTP/1.1 200 OK\r\n\r\nabc");
    cr_assert(decoder.state() == DecodeState::Body);
    cr_assert(decoder.head().bodyEndsAtClose);
    decoder.appendEnd();
    cr_assert(decoder.state() == DecodeState::Complete);
    cr_assert(decoder.takeBody() == "abc");
}

Test(response_decoder, rejects_a_short_body)
{
    ResponseDecoder decoder(false);
    decoder.append("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
    decoder.appendEnd();
    cr_assert(decoder.state() == DecodeState::Malformed);
}

Test(response_decoder, rejects_invalid_bytes)
{
    ResponseDecoder decoder(false);
    decoder.append("\x01\x02garbage\r\n\r\n");
    cr_assert(decoder.state() == DecodeState::Malformed);
}

// A refusal that is cut within its head must not lend its status to the response behind it.
Test(response_decoder, does_not_join_a_cut_head_with_the_next_one)
{
    const QByteArray refusal = "HTTP/1.1 503 Full\r\nLacewingmux-Not-Executed: 1\r\n"
                               "Lacewingmux-Server-Load: 3,0,8\r\nContent-Length: 10\r\n\r\n";
    for (qsizetype cut = 1; cut < refusal.size(); ++cut) {
        ResponseDecoder decoder(false);
        decoder.append(refusal.left(cut) + "HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: r2\r\n\r\n");
        cr_assert(decoder.state() == DecodeState::Malformed, "cut at %d", static_cast<int>(cut));
    }
}

Test(response_decoder, accepts_a_field_that_names_a_protocol)
{
    ResponseDecoder decoder(false);
    decoder.append("HTTP/1.1 200 HTTP/1.1 OK\r\nVia: HTTP/1.1 proxy, HTTP/1.0 20\r\n"
                   "Content-Length: 0\r\n\r\n");
    cr_assert(decoder.state() == DecodeState::Complete);
}

Test(response_decoder, accepts_a_long_body_in_chunks_of_one_byte)
{
    constexpr int bytes = 1024 * 1024;
    ResponseDecoder decoder(false);
    decoder.append("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    qsizetype size = 0;
    for (int number = 0; number < bytes; ++number) {
        decoder.append("1\r\na\r\n");
        size += decoder.takeBody().size();
    }
    decoder.append("0\r\n\r\n");
    cr_assert(decoder.state() == DecodeState::Complete);
    cr_assert_eq(size, bytes);
}

Test(response_decoder, accepts_signed_chunks)
{
    ResponseDecoder decoder(false);
    decoder.append("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int number = 0; number < 10000; ++number)
        decoder.append("40;chunk-signature=" + QByteArray(64, 'f') + "\r\n" + QByteArray(64, 'a')
                       + "\r\n");
    decoder.append("0\r\n\r\n");
    cr_assert(decoder.state() == DecodeState::Complete);
}
