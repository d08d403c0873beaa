#pragma once

#include "lacewingmux_http/front/FrontRequest.h"

#include <QByteArray>
#include <QString>

namespace lacewingmux {

class Configuration;
struct CallerRequest;

/**
    Reads what a caller asks for from method, path, headers and body. Pure.

    Expects requests whose credentials have been removed. Every method throws LacewingmuxError
    with Executed::No: UnknownRoute, UnknownProgram, MalformedRequest or NotPermitted.
*/
class RequestReader
{
public:
    explicit RequestReader(const Configuration &configurationInForce);

    /** Returns the request for the owner, without team and key. */
    [[nodiscard]] FrontRequest read(const CallerRequest &request) const;

    /** Throws when the team may not use the request's route. */
    void checkPermission(const OwnerRequest &request, const QString &team) const;

private:
    [[nodiscard]] FrontRequest readProgramRequest(const CallerRequest &request,
                                                  const QByteArrayList &segments) const;
    [[nodiscard]] FrontRequest readCall(const CallerRequest &request, FrontRequest read) const;
    [[nodiscard]] FrontRequest readChatCompletion(const CallerRequest &request) const;
    [[nodiscard]] FrontRequest readService(const CallerRequest &request,
                                           const QByteArrayList &segments) const;
    void requireIdempotencyKey(const OwnerRequest &request) const;

    const Configuration &configuration;
};

} // namespace lacewingmux
