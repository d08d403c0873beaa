#pragma once

#include "lacewingmux_gateway/calls/CallDescription.h"
#include "lacewingmux_gateway/calls/ReplicaRequestInfo.h"
#include "lacewingmux_gateway/calls/ReplicaResponseInfo.h"
#include "lacewingmux_gateway/http/HttpRequest.h"
#include "lacewingmux_gateway/http/HttpResponseHead.h"

#include <functional>

namespace lacewingmux {

/** Maps calls to HTTP header fields for callers and replicas; provided by the deployment. */
struct CallDialect
{
    /** Reads the header fields of a caller's request. */
    std::function<CallDescription(const HttpRequest &)> parseRequest;

    /** Returns the header fields for the replica: the caller's fields without hop-by-hop fields
        and fields that only the system may set, plus those that the system adds. */
    std::function<HttpFields(const HttpRequest &, const ReplicaRequestInfo &)> fieldsForReplica;

    /** Reads the head of a replica's response. */
    std::function<ReplicaResponseInfo(const HttpResponseHead &)> parseResponse;

    /** Returns the header fields for the caller: the replica's without hop-by-hop fields. */
    std::function<HttpFields(const HttpResponseHead &)> fieldsForCaller;

    /** Returns the header fields of a response that the gateway itself generates for the call. */
    std::function<HttpFields(const CallDescription &)> fieldsForOwnResponse;
};

} // namespace lacewingmux
