#pragma once

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_program/requests/HttpHeader.h"

#include <QByteArray>

#include <functional>
#include <vector>

namespace lacewingmux {

/**
    Where an answer goes: either begin, any number of chunks and end, or begin and chunks cut off
    by fail, or fail alone. The functions may be called from the owner's thread only.
*/
struct ResponseSink
{
    std::function<void(int httpStatus, const std::vector<HttpHeader> &headers)> begin;
    std::function<void(const QByteArray &chunk)> chunk;
    std::function<void()> end;
    std::function<void(const LacewingmuxError &error)> fail;
};

} // namespace lacewingmux
