#include "lacewingmux_gateway/http/ResponseDecoder.h"

#include "lacewingmux_gateway/http/ParserText.h"
#include "lacewingmux_gateway/http/StatusLine.h"

#include <boost/beast/http/basic_parser.hpp>

#include <limits>
#include <utility>

namespace lacewingmux {

namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t headLimitBytes = 64 * 1024; // far above the heads that backend servers send
constexpr int firstStatus = 100;
constexpr int firstFinalStatus = 200;
constexpr int lastStatus = 599;          // RFC 9110, section 15
constexpr int maximumInformational = 16; // in one response; one is usual
// Bytes around the body: a head and a trailer at their limits, and the headers of chunks, which
// take 5 bytes or more for each.
constexpr qsizetype freeFramingBytes = qsizetype{2} * headLimitBytes;
constexpr qsizetype framingBytesPerBodyByte = 32;

/** Tells whether the text holds a status line: the head of one response was cut there, and that of
    another one follows. */
bool holdsStatusLine(boost::beast::string_view text)
{
    return findStatusLine({text.data(), static_cast<qsizetype>(text.size())}) >= 0;
}

} // namespace

/** Builds one response from the callbacks of Beast's parser. */
class ResponseDecoder::Parser final : public http::basic_parser<false>
{
public:
    HttpResponseHead head;
    QByteArray body;
    qsizetype bodyBytes = 0; ///< in all

private:
    void on_request_impl(http::verb, boost::beast::string_view, boost::beast::string_view, int,
                         boost::beast::error_code &) override
    { }
    void on_response_impl(int status, boost::beast::string_view reason, int,
                          boost::beast::error_code &error) override
    {
        if (holdsStatusLine(reason))
            error = http::error::bad_reason;
        if (status < firstStatus || status > lastStatus)
            error = http::error::bad_status;
        this->head.status = status;
        this->head.reason = toBytes(reason);
    }
    void on_field_impl(http::field, boost::beast::string_view name, boost::beast::string_view value,
                       boost::beast::error_code &error) override
    {
        if (holdsStatusLine(value))
            error = http::error::bad_value;
        this->head.fields.push_back({toBytes(name), toBytes(value)});
    }
    void on_header_impl(boost::beast::error_code &) override
    { }
    void on_body_init_impl(const boost::optional<std::uint64_t> &,
                           boost::beast::error_code &) override
    { }
    std::size_t on_body_impl(boost::beast::string_view bytes, boost::beast::error_code &) override
    {
        this->appendBody(bytes);
        return bytes.size();
    }
    void on_chunk_header_impl(std::uint64_t, boost::beast::string_view,
                              boost::beast::error_code &) override
    { }
    std::size_t on_chunk_body_impl(std::uint64_t, boost::beast::string_view bytes,
                                   boost::beast::error_code &) override
    {
        this->appendBody(bytes);
        return bytes.size();
    }
    void on_finish_impl(boost::beast::error_code &) override
    { }

    void appendBody(boost::beast::string_view bytes)
    {
        const auto size = static_cast<qsizetype>(bytes.size());
        this->body.append(bytes.data(), size);
        this->bodyBytes += size;
    }
};

ResponseDecoder::ResponseDecoder(bool isHeadRequestResponse)
    : headOnly(isHeadRequestResponse)
{
    this->startNext();
}

ResponseDecoder::~ResponseDecoder() = default;

void ResponseDecoder::append(const QByteArray &bytes)
{
    this->pending += bytes;
    this->decode();
}

void ResponseDecoder::appendEnd()
{
    if (this->currentState >= DecodeState::Complete)
        return;
    boost::beast::error_code error;
    this->parser->put_eof(error);
    this->currentState =
            error || !this->parser->is_done() ? DecodeState::Malformed : DecodeState::Complete;
}

const HttpResponseHead &ResponseDecoder::head() const
{
    return this->parser->head;
}

QByteArray ResponseDecoder::takeBody()
{
    return std::exchange(this->parser->body, {});
}

QByteArray ResponseDecoder::takeTrailingBytes()
{
    return std::exchange(this->pending, {});
}

void ResponseDecoder::startNext()
{
    this->parser = std::make_unique<Parser>();
    this->parser->header_limit(headLimitBytes);
    this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    this->parser->eager(true);
    this->parser->skip(this->headOnly);
    this->decodedBytes = 0;
    this->currentState = DecodeState::Empty;
}

void ResponseDecoder::decode()
{
    while (!this->pending.isEmpty() && this->currentState < DecodeState::Complete) {
        const qsizetype before = this->pending.size();
        const boost::beast::error_code error = parsePending(*this->parser, this->pending);
        this->decodedBytes += before - this->pending.size();
        if ((error && error != http::error::need_more) || this->hasExcessiveFraming()) {
            this->currentState = DecodeState::Malformed;
            return;
        }
        this->updateState();
        if (error == http::error::need_more) {
            // Bytes of a body are consumed at once; what is left is part of a head or a chunk
            // header.
            if (this->pending.size() > headLimitBytes)
                this->currentState = DecodeState::Malformed;
            return;
        }
    }
}

bool ResponseDecoder::hasExcessiveFraming() const
{
    const qsizetype bodyBytes = this->parser->bodyBytes;
    return this->decodedBytes - bodyBytes > freeFramingBytes + framingBytesPerBodyByte * bodyBytes;
}

void ResponseDecoder::updateState()
{
    if (!this->parser->is_header_done()) {
        this->currentState = DecodeState::Head;
        return;
    }
    if (this->parser->is_done() && this->parser->head.status < firstFinalStatus) {
        this->startNext();
        if (++this->informationalCount > maximumInformational)
            this->currentState = DecodeState::Malformed;
        return;
    }
    this->parser->head.keepAlive = this->parser->keep_alive();
    this->parser->head.bodyEndsAtClose = this->parser->need_eof();
    this->currentState = this->parser->is_done() ? DecodeState::Complete : DecodeState::Body;
}

} // namespace lacewingmux
