#pragma once

#include <QByteArray>
#include <QJsonObject>

#include <cstdint>

namespace lacewingmux {

struct BackendResponse;
struct BackendCall;

/** Returns the body of a chat completion request for an engine: sets the stream flag, requests
    usage counts in a stream and limits the output tokens to the call's maximum. A body that is not
    a JSON object is returned unchanged. */
[[nodiscard]] QByteArray engineBody(const BackendCall &call);

/** Copies the usage counts from an engine's JSON into the response, if there are any. */
void readUsage(const QJsonObject &json, BackendResponse &response);

} // namespace lacewingmux
