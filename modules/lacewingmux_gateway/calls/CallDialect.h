#pragma once

#include "lacewingmux_gateway/calls/CallDescription.h"
#include "lacewingmux_gateway/calls/ReplicaSend.h"
#include "lacewingmux_gateway/calls/ReplicaVerdict.h"
#include "lacewingmux_gateway/http/HttpRequest.h"
#include "lacewingmux_gateway/http/HttpResponseHead.h"

#include <functional>

namespace lacewingmux {

/** How calls are spelled in HTTP on both sides; the deployment provides it. */
struct CallDialect
{
    /** Reads the header fields of a caller's request. */
    std::function<CallDescription(const HttpRequest &)> describe;

    /** Returns the header fields for the replica: the caller's, without those that the system
        alone may set or that concern one connection, and with what the system adds. */
    std::function<HttpFields(const HttpRequest &, const ReplicaSend &)> fieldsForReplica;

    /** Reads the head of a replica's answer. */
    std::function<ReplicaVerdict(const HttpResponseHead &)> judge;

    /** Returns the header fields for the caller: the replica's, without those that concern one
        connection. */
    std::function<HttpFields(const HttpResponseHead &)> fieldsForCaller;

    /** Returns the header fields that an answer of the system's own carries for the request. */
    std::function<HttpFields(const CallDescription &)> fieldsOfOwnAnswer;
};

} // namespace lacewingmux
