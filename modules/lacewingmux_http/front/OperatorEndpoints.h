#pragma once

#include "lacewingmux_http/front/OperatorReply.h"
#include "lacewingmux_http/front/OperatorRequest.h"

#include <QByteArray>
#include <QList>

#include <functional>
#include <memory>
#include <vector>

namespace lacewingmux {

class CallerAnswer;
struct CallerRequest;

/**
    The operators' interface, served on a port of its own by a second CallerServer.

    Each endpoint is a method and a path, in which "*" stands for one segment. The daemon adds
    GET /v1/operator/status, GET /v1/operator/programs/{id} and POST /v1/operator/programs/{id}/end
    with its own handlers, and whatever else operators need. When a token is set, requests must
    present it in "Authorization: Bearer".
*/
class OperatorEndpoints
{
public:
    using Handler = std::function<void(const OperatorRequest &request, const OperatorReply &reply)>;

    explicit OperatorEndpoints(QByteArray operatorToken = {});
    OperatorEndpoints(const OperatorEndpoints &) = delete;
    OperatorEndpoints &operator=(const OperatorEndpoints &) = delete;

    /** Adds an endpoint; its path is split at "/". */
    void add(const QByteArray &method, const QByteArray &path, Handler handler);

    /** Takes one request; use it as the handler of a CallerServer. */
    void handle(const CallerRequest &request, const std::shared_ptr<CallerAnswer> &answer) const;

private:
    struct Endpoint
    {
        QByteArray method;
        QByteArrayList segments;
        Handler handler;
    };

    void checkToken(const CallerRequest &request) const;
    void dispatch(const CallerRequest &request, const OperatorReply &reply) const;

    QByteArray token;
    std::vector<Endpoint> endpoints;
};

} // namespace lacewingmux
