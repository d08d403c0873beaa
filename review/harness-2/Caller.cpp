#include "Caller.h"

#include "Fleet.h"
#include "Record.h"

#include <atomic>
#include <cstdio>
#include <random>

namespace review {

std::string newId()
{
    static const auto base = std::random_device()();
    static std::atomic<unsigned> next{1};
    char text[17];
    std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(base), next++);
    return text;
}

Answer Caller::send(const std::string &method, const std::string &target, const std::string &id,
                    const std::string &fields, const std::string &body, int timeoutMs)
{
    Answer answer;
    answer.sentAt = seconds();
    if (!this->stream)
        this->stream = connectTo(this->address, Daemon::ingressPort, this->receiveBuffer);
    if (this->stream) {
        this->stream->setReadTimeout(timeoutMs);
        std::string text = method + " " + target + " HTTP/1.1\r\nHost: review.example\r\n"
                           + "Lacewingmux-Request-Id: " + id + "\r\nLacewingmux-Deadline-Ms: "
                           + std::to_string(timeoutMs) + "\r\n" + fields;
        if (!body.empty() || method == "POST")
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        if (this->stream->write(text + "\r\n" + body))
            this->read(answer);
    }
    answer.endedAt = seconds();
    if (!answer.isComplete)
        this->close();
    return answer;
}

void Caller::read(Answer &answer)
{
    const auto head = this->stream->message();
    if (!head)
        return;
    answer.status = std::atoi(head->word(1).c_str());
    answer.retryAfter = head->field("retry-after");
    answer.hasStamp = !head->field("lacewingmux-server-stamp").empty();
    answer.body = head->body;
    if (head->field("transfer-encoding") != "chunked") {
        answer.isComplete = !head->field("content-length").empty();
    } else {
        std::string text;
        while (const auto size = this->stream->line()) {
            const std::size_t count = std::stoul(*size, nullptr, 16);
            const auto chunk = this->stream->bytes(count);
            if (!chunk || !this->stream->line())
                break;
            if (count == 0) {
                answer.isComplete = true;
                break;
            }
            text += *chunk;
        }
        for (std::size_t at = text.find("data: "); at != std::string::npos;
             at = text.find("data: ", at + 1))
            answer.body += text.substr(at + 6, text.find('\n', at) - at - 5);
    }
    if (answer.isComplete && head->field("connection") == "close")
        this->close();
}

} // namespace review
