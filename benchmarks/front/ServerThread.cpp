#include "ServerThread.h"

#include <QEventLoop>

#include <future>

namespace lacewingmux {

ServerThread::ServerThread(const std::function<Built()> &build)
{
    std::promise<void> ready;
    this->thread.reset(QThread::create([this, &build, &ready] {
        this->built = build();
        ready.set_value();
        QEventLoop loop;
        loop.exec();
        this->built.parts.reset();
    }));
    this->thread->start();
    ready.get_future().wait();
}

ServerThread::~ServerThread()
{
    this->thread->quit();
    this->thread->wait();
}

} // namespace lacewingmux
