#pragma once

class QTcpSocket;

namespace lacewingmux {

/** Tells whether a connection ended by a reset, which Qt reports like an orderly close. */
class ResetDetector
{
public:
    ResetDetector() = default;
    ~ResetDetector();
    ResetDetector(const ResetDetector &) = delete;
    ResetDetector &operator=(const ResetDetector &) = delete;

    /** Starts to watch a connected socket, by a duplicate of its descriptor. */
    void watch(const QTcpSocket &socket);

    /** Returns whether the connection was reset; true if that is not known. */
    [[nodiscard]] bool wasReset() const;

    /** Returns the duplicate of the descriptor; -1 if there is none. */
    [[nodiscard]] int watchedDescriptor() const noexcept
    {
        return this->descriptor;
    }

private:
    int descriptor = -1;
};

/** Lets the connection end with a reset or in order when its socket is closed, also if the process
    is killed. */
void closeWithReset(QTcpSocket &socket, bool enabled);

/** Closes the connection with a reset, so that the peer does not take what it received for
    complete. */
void resetConnection(QTcpSocket &socket);

} // namespace lacewingmux
