#pragma once

#include "Fleet.h"
#include "Record.h"

#include <atomic>
#include <cstdio>
#include <random>
#include <string>

namespace review {

struct Answer
{
    int status = 0; ///< 0 if no head has arrived
    bool complete = false;
    std::string end;  ///< how the answer ended if it is not complete
    std::string body; ///< decoded
    Message head;
};

/** A caller's connection to an entry VM. */
class Caller
{
public:
    Caller(std::string entryIp, int entryPort = Daemon::ingressPort)
        : ip(std::move(entryIp))
        , port(entryPort)
    { }
    ~Caller()
    {
        this->close();
    }
    Caller(const Caller &) = delete;

    bool connect()
    {
        if (this->connection < 0)
            this->connection = connectTo(this->ip, this->port, 1.0);
        return this->connection >= 0;
    }
    void close()
    {
        if (this->connection >= 0)
            ::close(this->connection);
        this->connection = -1;
        this->buffer.clear();
    }
    bool isOpen() const
    {
        return this->connection >= 0;
    }

    /** Sends a request and reads its answer until the time is over. */
    Answer call(const std::string &request, double timeout)
    {
        Answer answer;
        if (!this->connect()) {
            answer.end = "cannot connect";
            return answer;
        }
        if (!writeAll(this->connection, request)) {
            answer.end = "the connection broke while the request was sent";
        }
        return this->read(answer, timeout);
    }

private:
    Answer read(Answer answer, double timeout)
    {
        const double end = seconds() + timeout;
        std::size_t headEnd = std::string::npos;
        while ((headEnd = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->more(answer, end))
                return answer;
        }
        parseHead(this->buffer.substr(0, headEnd), answer.head);
        this->buffer.erase(0, headEnd + 4);
        answer.status = std::atoi(answer.head.start.substr(9, 3).c_str());
        if (answer.head.field("Transfer-Encoding") == "chunked") {
            while (true) {
                std::size_t line = std::string::npos;
                while ((line = this->buffer.find("\r\n")) == std::string::npos) {
                    if (!this->more(answer, end))
                        return answer;
                }
                const std::size_t bytes = std::stoul(this->buffer.substr(0, line), nullptr, 16);
                while (this->buffer.size() < line + 2 + bytes + 2) {
                    if (!this->more(answer, end))
                        return answer;
                }
                answer.body += this->buffer.substr(line + 2, bytes);
                this->buffer.erase(0, line + 2 + bytes + 2);
                if (bytes == 0)
                    break;
            }
        } else {
            const std::string length = answer.head.field("Content-Length");
            const std::size_t bytes = length.empty() ? 0 : std::stoul(length);
            while (this->buffer.size() < bytes) {
                if (!this->more(answer, end))
                    return answer;
            }
            answer.body = this->buffer.substr(0, bytes);
            this->buffer.erase(0, bytes);
        }
        answer.complete = true;
        answer.end = "complete";
        if (answer.head.field("Connection") == "close")
            this->close();
        return answer;
    }
    bool more(Answer &answer, double end)
    {
        const ReadEnd result = readSome(this->connection, this->buffer, end - seconds());
        if (result == ReadEnd::Data)
            return true;
        answer.end = result == ReadEnd::Timeout  ? "the caller's time is over"
                     : result == ReadEnd::Closed ? "the connection was closed"
                                                 : "the connection was reset";
        this->close();
        return false;
    }

    std::string ip;
    int port;
    int connection = -1;
    std::string buffer;
};

inline std::string newId()
{
    static std::atomic<std::uint64_t> counter{0};
    static const std::uint64_t base = std::random_device{}();
    char text[32];
    std::snprintf(text, sizeof text, "%08llx%08llx",
                  static_cast<unsigned long long>(base & 0xffffffff),
                  static_cast<unsigned long long>(++counter));
    return text;
}

} // namespace review
