#include "lacewingmux_gateway/http/RequestDecoder.h"

#include <criterion/criterion.h>

#include <QList>

#include <utility>

using namespace lacewingmux;

namespace {

DecodeState stateAfter(const QByteArray &bytes)
{
    RequestDecoder decoder{HttpLimits()};
    decoder.append(bytes);
    return decoder.state();
}

} // namespace

Test(request_decoder, decodes_a_request_byte_by_byte)
{
    RequestDecoder decoder{HttpLimits()};
    const QByteArray text = "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
    for (const char byte : text)
        decoder.append(QByteArray(1, byte));
    cr_assert(decoder.state() == DecodeState::Complete);
    const HttpRequest request = decoder.take();
    cr_assert(request.method == "POST");
    cr_assert(request.target == "/a/b?c=d");
    cr_assert(request.body == "abc");
    cr_assert(request.keepAlive);
}

Test(request_decoder, separates_pipelined_requests)
{
    RequestDecoder decoder{HttpLimits()};
    decoder.append("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    cr_assert(decoder.take().target == "/1");
    cr_assert(decoder.state() == DecodeState::Complete);
    cr_assert(decoder.take().target == "/2");
    cr_assert(decoder.state() == DecodeState::Empty);
}

Test(request_decoder, joins_chunks)
{
    RequestDecoder decoder{HttpLimits()};
    decoder.append("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    cr_assert(decoder.state() == DecodeState::Complete);
    cr_assert(decoder.take().body == "abcde");
}

Test(request_decoder, rejects_malformed_requests)
{
    const QByteArray start = "POST / HTTP/1.1\r\nHost: x\r\n";
    const QList<QByteArray> malformed{
            start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            start + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
            start + "Content-Length : 3\r\n\r\nabc",
            start + "Content-Length: -3\r\n\r\nabc",
            start + "Content-Length: 3x\r\n\r\nabc",
            start + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
            start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            start + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
            "GET / HTTP/1.1\nHost: x\n\n",
            "GET / HTTP/1.1\r\n\r\n",
            "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
            "GET / HTTP/2.0\r\nHost: x\r\n\r\n",
            "GET /a b HTTP/1.1\r\nHost: x\r\n\r\n"};
    for (const QByteArray &text : malformed)
        cr_expect(stateAfter(text) == DecodeState::Malformed, "accepted: %s", text.constData());
}

Test(request_decoder, limits_head_and_body)
{
    const QByteArray start = "POST / HTTP/1.1\r\nHost: x\r\n";
    cr_assert(stateAfter(start + "X: " + QByteArray(20000, 'a')) == DecodeState::HeadTooLarge);
    cr_assert(stateAfter(start + "Content-Length: 9000000\r\n\r\n") == DecodeState::BodyTooLarge);
    cr_assert(stateAfter(start + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n")
              == DecodeState::BodyTooLarge);
}

// Otherwise a caller decides how much memory the VM keeps for a request that never becomes whole.
Test(request_decoder, refuses_a_chunk_header_or_trailer_without_end)
{
    const QByteArray start = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    const QList<std::pair<QByteArray, QByteArray>> endless{
            {start + "1;name=", "x"},
            {start + "1\r\nx\r\n0\r\nName: ", "x"},
            {start + "1\r\nx\r\n0\r\n", "Name: x\r\n"},
    };
    for (const auto &[opening, piece] : endless) {
        RequestDecoder decoder{HttpLimits()};
        decoder.append(opening);
        for (int block = 0; block < 64; ++block)
            decoder.append(piece.repeated(1024));
        cr_assert(decoder.state() == DecodeState::HeadTooLarge, "%s",
                  (opening.mid(start.size()) + piece).constData());
        cr_assert(decoder.pendingBytes() <= qsizetype{32} * 1024);
    }
}

Test(request_decoder, takes_a_chunk_extension_and_a_trailer_of_usual_length)
{
    RequestDecoder decoder{HttpLimits()};
    decoder.append("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
    decoder.append("3;name=" + QByteArray(qsizetype{8} * 1024, 'x'));
    decoder.append("\r\nabc\r\n0\r\nName: " + QByteArray(qsizetype{8} * 1024, 'x'));
    decoder.append("\r\n\r\n");
    cr_assert(decoder.state() == DecodeState::Complete);
    cr_assert(decoder.take().body == "abc");
}
