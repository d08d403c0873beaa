#pragma once

#include "Http.h"

#include <memory>
#include <string>
#include <vector>

namespace review {

/** What a caller got. */
struct Answer
{
    int status = 0; ///< 0: none
    bool isComplete = false;
    std::string body; ///< of a stream, its events' data, each with a line feed
    std::string retryAfter;
    bool hasStamp = false;
    double sentAt = 0;
    double endedAt = 0;
};

/** A requester with one connection that it keeps open. */
class Caller
{
public:
    explicit Caller(std::string frontAddress, int receiveBufferBytes = 0)
        : address(std::move(frontAddress))
        , receiveBuffer(receiveBufferBytes)
    { }

    /** Sends a request and reads its answer. Fields are lines with their ends. */
    Answer send(const std::string &method, const std::string &target, const std::string &id,
                const std::string &fields, const std::string &body, int timeoutMs);
    void close()
    {
        this->stream.reset();
    }
    [[nodiscard]] bool isConnected() const
    {
        return this->stream != nullptr;
    }

private:
    void read(Answer &answer);

    std::string address;
    int receiveBuffer;
    std::unique_ptr<Stream> stream;
};

/** Returns an id of 16 hexadecimal digits that no other request of the run has. */
std::string newId();

} // namespace review
