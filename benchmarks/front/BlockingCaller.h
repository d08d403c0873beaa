#pragma once

#include <QByteArray>

#include <cstdint>

namespace lacewingmux {

/** A caller that waits for each answer, with as little work of its own as possible. */
class BlockingCaller
{
public:
    explicit BlockingCaller(std::uint16_t port);
    ~BlockingCaller();
    BlockingCaller(const BlockingCaller &) = delete;
    BlockingCaller &operator=(const BlockingCaller &) = delete;

    void send(const QByteArray &request) const;

    /** Waits for an answer that ends with the text; stops the process when none comes. */
    void receive(const QByteArray &end);

private:
    int descriptor = -1;
    QByteArray answer;
};

} // namespace lacewingmux
