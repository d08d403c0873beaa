#pragma once

#include "lacewingmux_program/requests/OwnerRequest.h"
#include "lacewingmux_program/requests/ResponseSink.h"

#include <cstdint>

namespace lacewingmux {

/** Identifies one request in progress at an OwnerService. */
using OwnerRequestHandle = std::uint64_t;

/**
    Handles requests for the programs and claims that this VM owns. A front end calls it directly
    if its own VM is the owner, otherwise through the peer protocol.
*/
class OwnerService
{
public:
    OwnerService() = default;
    virtual ~OwnerService() = default;
    OwnerService(const OwnerService &) = delete;
    OwnerService &operator=(const OwnerService &) = delete;

    /**
        Handles one request. The sink is called later, at the latest when the timeout expires.
        Fails with ErrorKind::OwnerUnavailable if this VM is not the owner: with Executed::Unknown
        for a numbered call or a request with an idempotency key, whose record cannot be looked up
        here, otherwise with Executed::No.
    */
    virtual OwnerRequestHandle handle(const OwnerRequest &request, ResponseSink sink) = 0;

    /**
        Called when the caller of the request has disconnected. Its sink is not called any more. A
        call of a program continues and its response is recorded; work whose result cannot be
        fetched later is cancelled.
    */
    virtual void callerGone(OwnerRequestHandle request) = 0;

    /** Ends queued work and open streams of a caller's key; they fail with KeyWithdrawn. */
    virtual void withdrawKey(const QString &keyId) = 0;
};

} // namespace lacewingmux
