#pragma once

#include "lacewingmux_program/requests/OwnerRequest.h"
#include "lacewingmux_program/requests/ResponseSink.h"

#include <cstdint>

namespace lacewingmux {

/** Names one request in progress at an OwnerService. */
using OwnerRequestHandle = std::uint64_t;

/**
    Decides about programs and claims that this VM owns and answers for them. A front calls it
    directly when its own VM is the owner, else through the peer protocol.
*/
class OwnerService
{
public:
    OwnerService() = default;
    virtual ~OwnerService() = default;
    OwnerService(const OwnerService &) = delete;
    OwnerService &operator=(const OwnerService &) = delete;

    /**
        Handles one request. The sink is called later, at the latest when the timeout is over.
        Fails with ErrorKind::OwnerUnavailable when this VM is not the owner: with Executed::Unknown
        for a numbered or keyed request, whose record can't be looked up here, else Executed::No.
    */
    virtual OwnerRequestHandle handle(const OwnerRequest &request, ResponseSink sink) = 0;

    /**
        Tells that the caller of the request has gone. Its sink is called no more. A call of a
        program goes on and its answer is recorded; work that nobody can fetch is cancelled.
    */
    virtual void callerGone(OwnerRequestHandle request) = 0;

    /** Ends queued work and open streams that came with the key; they fail with KeyWithdrawn. */
    virtual void withdrawKey(const QString &keyId) = 0;
};

} // namespace lacewingmux
