#pragma once

#include <QObject>

#include <functional>

class QThread;

namespace lacewingmux {

/**
    Runs functions on the thread to which it belongs, in the order posted; the one way in which
    the daemon's threads talk. Functions that wait when it is destroyed are dropped.
*/
class ThreadQueue
{
public:
    ThreadQueue() = default;
    ThreadQueue(const ThreadQueue &) = delete;
    ThreadQueue &operator=(const ThreadQueue &) = delete;

    /** Posts a function; may be called from any thread while the queue exists. */
    void post(std::function<void()> function);

    /** Runs a function on the queue's thread and waits for it. Never call it from that thread. */
    void run(const std::function<void()> &function);

    /** Hands the queue to a thread; call it from the thread that has it now. */
    void moveToThread(QThread *thread);

private:
    QObject context;
};

} // namespace lacewingmux
