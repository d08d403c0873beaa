#include "lacewingmux_gateway/http/RequestDecoder.h"

#include "lacewingmux_gateway/http/ParserText.h"

#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace http = boost::beast::http;

namespace {

DecodeState failureState(const boost::beast::error_code &error)
{
    if (error == http::error::header_limit)
        return DecodeState::HeadTooLarge;
    if (error == http::error::body_limit)
        return DecodeState::BodyTooLarge;
    return DecodeState::Malformed;
}

} // namespace

/** Builds one request from the callbacks of Beast's parser. */
class RequestDecoder::Parser final : public http::basic_parser<true>
{
public:
    HttpRequest request;

private:
    void on_request_impl(http::verb, boost::beast::string_view method,
                         boost::beast::string_view target, int version,
                         boost::beast::error_code &error) override
    {
        this->request.method = toBytes(method);
        this->request.target = toBytes(target);
        if (version != 10 && version != 11)
            error = http::error::bad_version;
    }
    void on_response_impl(int, boost::beast::string_view, int, boost::beast::error_code &) override
    { }
    void on_field_impl(http::field, boost::beast::string_view name, boost::beast::string_view value,
                       boost::beast::error_code &) override
    {
        this->request.fields.push_back({toBytes(name), toBytes(value)});
    }
    void on_header_impl(boost::beast::error_code &) override
    { }
    void on_body_init_impl(const boost::optional<std::uint64_t> &length,
                           boost::beast::error_code &) override
    {
        if (length)
            this->request.body.reserve(static_cast<qsizetype>(*length));
    }
    std::size_t on_body_impl(boost::beast::string_view body, boost::beast::error_code &) override
    {
        this->request.body.append(body.data(), static_cast<qsizetype>(body.size()));
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t, boost::beast::string_view,
                              boost::beast::error_code &) override
    { }
    std::size_t on_chunk_body_impl(std::uint64_t, boost::beast::string_view body,
                                   boost::beast::error_code &) override
    {
        this->request.body.append(body.data(), static_cast<qsizetype>(body.size()));
        return body.size();
    }
    void on_finish_impl(boost::beast::error_code &) override
    { }
};

RequestDecoder::RequestDecoder(const HttpLimits &httpLimits)
    : limits(httpLimits)
{
    this->startNext();
}

RequestDecoder::~RequestDecoder() = default;

void RequestDecoder::setLimits(const HttpLimits &httpLimits)
{
    this->limits = httpLimits;
    if (this->currentState == DecodeState::Empty) {
        this->startNext();
    } else if (this->currentState == DecodeState::Head) {
        this->requestLimits = this->requestLimits.widenedBy(httpLimits);
        this->applyRequestLimits();
    }
}

void RequestDecoder::append(const QByteArray &bytes)
{
    if (this->currentState > DecodeState::Complete)
        return;
    this->pending += bytes;
    this->decode();
}

bool RequestDecoder::expectsContinue() const
{
    return this->currentState == DecodeState::Body
           && listHasToken(fieldValue(this->parser->request.fields, "Expect"), "100-continue");
}

HttpRequest RequestDecoder::take()
{
    HttpRequest request = std::move(this->parser->request);
    request.keepAlive = this->parser->keep_alive();
    this->startNext();
    this->decode();
    return request;
}

qsizetype RequestDecoder::bufferedBytes() const
{
    return this->pending.size() + this->parser->request.body.size();
}

void RequestDecoder::discard()
{
    this->pending.clear();
    this->startNext();
}

void RequestDecoder::startNext()
{
    this->parser = std::make_unique<Parser>();
    this->requestLimits = this->limits;
    this->applyRequestLimits();
    this->parser->eager(true);
    this->currentState = DecodeState::Empty;
}

void RequestDecoder::applyRequestLimits()
{
    this->parser->header_limit(this->requestLimits.headerBytes);
    this->parser->body_limit(this->requestLimits.bodyBytes);
}

void RequestDecoder::decode()
{
    while (!this->pending.isEmpty() && this->currentState < DecodeState::Complete) {
        const boost::beast::error_code error = parsePending(*this->parser, this->pending);
        if (error && error != http::error::need_more) {
            this->currentState = failureState(error);
            return;
        }
        if (this->parser->is_header_done() && !this->hasValidFields()) {
            this->currentState = DecodeState::Malformed;
            return;
        }
        if (this->parser->is_done())
            this->currentState = DecodeState::Complete;
        else
            this->currentState =
                    this->parser->is_header_done() ? DecodeState::Body : DecodeState::Head;
        if (error == http::error::need_more) {
            // Bytes of a body are consumed at once; what is left is part of a head, a chunk header
            // or a trailer. The parser only limits the head.
            if (this->pending.size() > static_cast<qsizetype>(this->requestLimits.headerBytes))
                this->currentState = DecodeState::HeadTooLarge;
            return;
        }
    }
}

bool RequestDecoder::hasValidFields() const
{
    const HttpFields &fields = this->parser->request.fields;
    const auto hosts = std::count_if(fields.begin(), fields.end(), [](const HttpField &field) {
        return sameFieldName(field.name, "Host");
    });
    // The parser treats a request with an unknown transfer coding as having no body.
    const bool isCodingValid =
            std::all_of(fields.begin(), fields.end(), [](const HttpField &field) {
                return !sameFieldName(field.name, "Transfer-Encoding")
                       || sameFieldName(field.value, "chunked");
            });
    return hosts == 1 && isCodingValid;
}

} // namespace lacewingmux
