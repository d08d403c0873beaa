#pragma once

#include <QUrl>

#include <memory>

class QNetworkAccessManager;

namespace lacewingmux {

/**
    Network access managers for the exchanges of one thread.

    A manager opens at most six connections to one server and queues further requests without limit,
    so the pool keeps as many managers as the busiest server needs.
*/
class ConnectionPool
{
public:
    ConnectionPool();
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /** Returns a manager that has a free connection to the server. The connection counts as in
        use until the pointer is released. */
    [[nodiscard]] std::shared_ptr<QNetworkAccessManager> acquire(const QUrl &server);

    /** Returns a new manager outside the pool. Its first request opens a new connection. */
    [[nodiscard]] static std::shared_ptr<QNetworkAccessManager> createDedicated();

private:
    struct State;

    std::shared_ptr<State> state; ///< shared with the returned pointers, which may outlive the pool
};

} // namespace lacewingmux
