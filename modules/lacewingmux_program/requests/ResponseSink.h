#pragma once

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_program/requests/HttpHeader.h"

#include <QByteArray>

#include <functional>
#include <vector>

namespace lacewingmux {

/**
    Receives a response: either begin, any number of chunks and end; or begin and chunks that fail
    interrupts; or fail alone. The functions may only be called on the owner's thread.
*/
struct ResponseSink
{
    std::function<void(int httpStatus, const std::vector<HttpHeader> &headers)> begin;
    std::function<void(const QByteArray &chunk)> chunk;
    std::function<void()> end;
    std::function<void(const LacewingmuxError &error)> fail;
};

} // namespace lacewingmux
