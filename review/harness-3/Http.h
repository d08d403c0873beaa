#pragma once

#include "Sockets.h"

#include <string>
#include <strings.h>
#include <utility>
#include <vector>

namespace review {

struct Message
{
    std::string start;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : this->fields) {
            if (::strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
};

inline bool parseHead(const std::string &head, Message &message)
{
    std::size_t position = head.find("\r\n");
    message.start = head.substr(0, position);
    while (position != std::string::npos) {
        const std::size_t begin = position + 2;
        position = head.find("\r\n", begin);
        const std::string line = head.substr(
                begin, position == std::string::npos ? std::string::npos : position - begin);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
            ++value;
        message.fields.emplace_back(line.substr(0, colon), line.substr(value));
    }
    return true;
}

/** Reads one request with a length; false if the connection ended. */
inline bool readRequest(int descriptor, std::string &buffer, Message &message, double timeout)
{
    const double end = seconds() + timeout;
    std::size_t headEnd = std::string::npos;
    while ((headEnd = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (readSome(descriptor, buffer, end - seconds()) != ReadEnd::Data)
            return false;
    }
    message = {};
    parseHead(buffer.substr(0, headEnd), message);
    const std::string length = message.field("Content-Length");
    const std::size_t bytes = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < headEnd + 4 + bytes) {
        if (readSome(descriptor, buffer, end - seconds()) != ReadEnd::Data)
            return false;
    }
    message.body = buffer.substr(headEnd + 4, bytes);
    buffer.erase(0, headEnd + 4 + bytes);
    return true;
}

} // namespace review
