#pragma once

#include <QByteArray>
#include <QJsonObject>

#include <cstdint>

namespace lacewingmux {

struct BackendResponse;
struct BackendCall;

/** Returns the body of a chat completion as it goes to an engine: the stream flag set, usage asked
    for, and max_tokens held to the call's bound. A body that is no JSON object stays as it is. */
[[nodiscard]] QByteArray engineBody(const BackendCall &call);

/** Reads the usage object of an engine's answer into the answer's token counts. */
void readUsage(const QJsonObject &json, BackendResponse &response);

} // namespace lacewingmux
