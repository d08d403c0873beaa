#pragma once

#include <QByteArray>
#include <QString>
#include <QUrl>

#include <chrono>
#include <cstdint>
#include <vector>

/** One header of a test's request. */
struct RequestHeader
{
    QByteArray name;
    QByteArray value;
};

/** What a test's caller sends. */
struct CallerRequestSpec
{
    QUrl front; ///< scheme, address and port of the VM
    QByteArray method = "POST";
    QString path;
    std::vector<RequestHeader> headers;
    QByteArray body;
    QString marker;
    QString program;
    std::uint32_t callNumber = 0;
    bool idempotent = true;
    std::chrono::milliseconds timeout{60000};
};
