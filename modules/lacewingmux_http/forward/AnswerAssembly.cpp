#include "lacewingmux_http/forward/AnswerAssembly.h"

namespace lacewingmux {

void AnswerAssembly::restart()
{
    *this = AnswerAssembly(this->stream);
}

void AnswerAssembly::begin(int status, const std::vector<HttpHeader> &answerHeaders)
{
    if (this->begun)
        return;
    this->begun = true;
    this->httpStatus = status;
    this->headers = answerHeaders;
}

bool AnswerAssembly::chunk(std::uint32_t sequence, const QByteArray &bytes,
                           const ResponseSink &sink)
{
    if (sequence < this->nextSequence)
        return true;
    if (!this->begun || sequence > this->nextSequence)
        return false;
    ++this->nextSequence;
    if (!this->stream) {
        this->body += bytes;
        return true;
    }
    this->show(sink);
    sink.chunk(bytes);
    return true;
}

bool AnswerAssembly::end(std::uint32_t chunkCount, const ResponseSink &sink)
{
    if (!this->begun || chunkCount != this->nextSequence)
        return false;
    this->show(sink);
    if (!this->body.isEmpty())
        sink.chunk(this->body);
    sink.end();
    return true;
}

void AnswerAssembly::show(const ResponseSink &sink)
{
    if (this->shown)
        return;
    this->shown = true;
    sink.begin(this->httpStatus, this->headers);
}

} // namespace lacewingmux
