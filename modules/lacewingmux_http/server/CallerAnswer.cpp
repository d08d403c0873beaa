#include "lacewingmux_http/server/CallerAnswer.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_http/server/CallerConnection.h"
#include "lacewingmux_http/server/StatusText.h"

#include <QJsonDocument>

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

constexpr int firstStatusWithBody = 200;
constexpr int noContent = 204;
constexpr int notModified = 304;

bool statusHasBody(int httpStatus)
{
    return httpStatus >= firstStatusWithBody && httpStatus != noContent
           && httpStatus != notModified;
}

bool isControl(char byte)
{
    return byte == '\r' || byte == '\n' || byte == '\0';
}

/** Appends the text without line ends, which would let one answer pass for two. */
void appendSingleLine(QByteArray &bytes, const QByteArray &text)
{
    if (std::none_of(text.begin(), text.end(), isControl)) {
        bytes += text;
        return;
    }
    for (const char byte : text)
        bytes += isControl(byte) ? ' ' : byte;
}

bool isFraming(const QByteArray &name)
{
    return name.compare("content-length", Qt::CaseInsensitive) == 0
           || name.compare("transfer-encoding", Qt::CaseInsensitive) == 0
           || name.compare("connection", Qt::CaseInsensitive) == 0
           || name.compare("keep-alive", Qt::CaseInsensitive) == 0;
}

} // namespace

CallerAnswer::CallerAnswer(CallerConnection &answeredConnection, bool withoutBody,
                           bool mayBeChunked)
    : connection(&answeredConnection)
    , headOnly(withoutBody)
    , chunkedAllowed(mayBeChunked)
{ }

void CallerAnswer::send(int httpStatus, const std::vector<HttpHeader> &headers,
                        const QByteArray &body)
{
    if (this->begun || this->ended)
        return;
    this->begun = true;
    QByteArray framing;
    if (statusHasBody(httpStatus))
        framing = "Content-Length: " + QByteArray::number(body.size()) + "\r\n";
    QByteArray bytes = this->headBytes(httpStatus, headers, framing);
    if (!this->headOnly && statusHasBody(httpStatus))
        bytes += body;
    this->write(bytes);
    this->finish();
}

void CallerAnswer::fail(const LacewingmuxError &error)
{
    this->send(error.httpStatus(), errorHeaders(error),
               QJsonDocument(error.toJson()).toJson(QJsonDocument::Compact));
}

void CallerAnswer::begin(int httpStatus, const std::vector<HttpHeader> &headers)
{
    if (this->begun || this->ended)
        return;
    this->begun = true;
    this->chunked = this->chunkedAllowed && statusHasBody(httpStatus);
    if (!this->chunkedAllowed)
        this->last = true; // only the end of the connection marks the end of the body
    this->headOnly = this->headOnly || !statusHasBody(httpStatus);
    const QByteArray framing = this->chunked ? "Transfer-Encoding: chunked\r\n" : "";
    this->write(this->headBytes(httpStatus, headers, framing));
}

void CallerAnswer::chunk(const QByteArray &bytes)
{
    if (!this->begun || this->ended || this->headOnly || bytes.isEmpty())
        return;
    if (this->chunked)
        this->write(QByteArray::number(bytes.size(), 16) + "\r\n" + bytes + "\r\n");
    else
        this->write(bytes);
}

void CallerAnswer::end()
{
    if (!this->begun || this->ended)
        return;
    if (this->chunked && !this->headOnly)
        this->write("0\r\n\r\n");
    this->finish();
}

void CallerAnswer::cutOff()
{
    if (this->ended)
        return;
    this->last = true;
    this->endLooksWhole = this->begun && !this->chunked;
    this->finish();
}

void CallerAnswer::setCallerGoneHandler(std::function<void()> handler)
{
    this->callerGoneHandler = std::move(handler);
}

QByteArray CallerAnswer::headBytes(int httpStatus, const std::vector<HttpHeader> &headers,
                                   const QByteArray &framing)
{
    QByteArray bytes;
    bytes.reserve(512);
    bytes += "HTTP/1.1 ";
    bytes += QByteArray::number(httpStatus);
    bytes += ' ';
    bytes += statusText(httpStatus);
    bytes += "\r\n";
    for (const HttpHeader &header : headers) {
        if (isFraming(header.name))
            continue;
        appendSingleLine(bytes, header.name);
        bytes += ": ";
        appendSingleLine(bytes, header.value);
        bytes += "\r\n";
    }
    bytes += framing;
    if (this->connection && this->connection->closesAfterNextAnswer())
        this->last = true;
    bytes += this->last ? "Connection: close\r\n\r\n" : "Connection: keep-alive\r\n\r\n";
    return bytes;
}

void CallerAnswer::write(const QByteArray &bytes)
{
    if (!this->connection)
        return;
    if (this->firstInLine)
        this->connection->write(bytes);
    else
        this->waiting += bytes;
}

void CallerAnswer::finish()
{
    this->ended = true;
    this->callerGoneHandler = nullptr;
    if (this->connection)
        this->connection->answerEnded();
}

void CallerAnswer::callerGone()
{
    this->connection = nullptr;
    this->ended = true;
    const auto handler = std::exchange(this->callerGoneHandler, nullptr);
    if (handler)
        handler();
}

} // namespace lacewingmux
