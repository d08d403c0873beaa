#pragma once

#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_core/time/QtTimerService.h"
#include "lacewingmux_tunnel/sockets/ResetDetector.h"

#include <QByteArray>
#include <QCoreApplication>
#include <QTcpSocket>

#include <chrono>
#include <cstdint>
#include <functional>

namespace lacewingmux::test {

/** How long a test waits for something that must happen; generous, never part of a verdict. */
constexpr std::chrono::seconds patience{60};

/** Makes the one application object that sockets need, once in a test process. */
void ensureApplication();

/** Turns the event loop until the condition holds; returns whether it did. */
[[nodiscard]] bool waitUntil(const std::function<bool()> &condition);

/** Turns the event loop for a while, for what must not happen. */
void turnLoop(std::chrono::milliseconds duration);

/** A caller on a plain socket, so that tests decide about each byte. */
class RawCaller
{
public:
    explicit RawCaller(std::uint16_t port);

    void send(const QByteArray &bytes);

    /** Waits until the received bytes contain the text. */
    [[nodiscard]] bool waitFor(const QByteArray &text);
    [[nodiscard]] bool waitForClose();

    /** Watches for a reset. The server then learns of a close only when this is destroyed. */
    void watchForReset()
    {
        this->resetDetector.watch(this->socket);
    }

    /** Tells whether the closed connection, which was watched, was reset. */
    [[nodiscard]] bool wasReset() const
    {
        return this->resetDetector.wasReset();
    }

    /** Leaves what comes in the network's buffers from now on. */
    void stopReading();
    void readOn();
    void close();

    [[nodiscard]] const QByteArray &received();

    /** Returns how often the text has been received. */
    [[nodiscard]] int count(const QByteArray &text);

private:
    QTcpSocket socket;
    ResetDetector resetDetector;
    QByteArray bytes;
};

} // namespace lacewingmux::test
