#pragma once

#include "lacewingmux_gateway/calls/CallDescription.h"
#include "lacewingmux_gateway/calls/ReplicaRequestInfo.h"
#include "lacewingmux_gateway/calls/ReplicaResponseInfo.h"
#include "lacewingmux_gateway/http/HttpRequest.h"
#include "lacewingmux_gateway/http/HttpResponseHead.h"

#include <functional>

namespace lacewingmux {

/** How calls are spelled in HTTP on both sides; the deployment provides it. */
struct CallDialect
{
    /** Reads the header fields of a caller's request. */
    std::function<CallDescription(const HttpRequest &)> parseRequest;

    /** Returns the header fields for the replica: the caller's, without those that the system
        alone may set or that concern one connection, and with what the system adds. */
    std::function<HttpFields(const HttpRequest &, const ReplicaRequestInfo &)> fieldsForReplica;

    /** Reads the head of a replica's answer. */
    std::function<ReplicaResponseInfo(const HttpResponseHead &)> parseResponse;

    /** Returns the header fields for the caller: the replica's, without those that concern one
        connection. */
    std::function<HttpFields(const HttpResponseHead &)> fieldsForCaller;

    /** Returns the header fields that an answer of the system's own carries for the request. */
    std::function<HttpFields(const CallDescription &)> fieldsForOwnResponse;
};

} // namespace lacewingmux
