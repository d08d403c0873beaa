#pragma once

#include <QByteArray>
#include <QString>

#include <chrono>

/** One run of a request at a backend server, as the stand-in recorded it. */
struct BackendRun
{
    QString server;
    QString requestId;
    QByteArray request;                   ///< method, path, headers and body as the server saw them
    std::chrono::milliseconds started{0}; ///< on one clock for all servers of a test
    std::chrono::milliseconds ended{0};
};
