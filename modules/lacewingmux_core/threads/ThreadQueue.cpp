#include "lacewingmux_core/threads/ThreadQueue.h"

#include <QThread>

namespace lacewingmux {

void ThreadQueue::post(std::function<void()> function)
{
    QMetaObject::invokeMethod(&this->context, std::move(function), Qt::QueuedConnection);
}

void ThreadQueue::run(const std::function<void()> &function)
{
    QMetaObject::invokeMethod(&this->context, function, Qt::BlockingQueuedConnection);
}

void ThreadQueue::moveToThread(QThread *thread)
{
    this->context.moveToThread(thread);
}

} // namespace lacewingmux
