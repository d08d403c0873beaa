#pragma once

#include "lacewingmux_core/threads/ThreadQueue.h"

#include <QThread>

#include <exception>
#include <functional>
#include <memory>
#include <utility>

namespace lacewingmux {

/**
    A thread with an event loop and the services that live on it.

    The services are made and destroyed on the thread, so that everything in them belongs to it.
    Others reach them with post() alone.
*/
template <typename Services>
class ServiceThread
{
public:
    using Factory = std::function<std::unique_ptr<Services>()>;

    /** Starts the thread and makes the services on it; an exception of the factory comes out. */
    ServiceThread(const QString &name, const Factory &factory)
    {
        this->thread.setObjectName(name);
        this->queue.moveToThread(&this->thread);
        this->thread.start();
        std::exception_ptr failure;
        this->queue.run([this, &factory, &failure] {
            try {
                this->services = factory();
            } catch (...) {
                failure = std::current_exception();
            }
        });
        if (!failure)
            return;
        this->end();
        std::rethrow_exception(failure);
    }

    ~ServiceThread()
    {
        this->end();
    }
    ServiceThread(const ServiceThread &) = delete;
    ServiceThread &operator=(const ServiceThread &) = delete;

    /** Calls the function with the services, on their thread, in the order posted. */
    void post(std::function<void(Services &)> function)
    {
        this->queue.post([this, function = std::move(function)] { function(*this->services); });
    }

private:
    void end()
    {
        this->queue.run([this] { this->services.reset(); });
        this->thread.quit();
        this->thread.wait();
    }

    QThread thread;
    ThreadQueue queue;
    std::unique_ptr<Services> services;
};

} // namespace lacewingmux
