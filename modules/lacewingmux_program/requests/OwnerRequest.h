#pragma once

#include "lacewingmux_program/requests/HttpHeader.h"

#include <QByteArray>
#include <QString>

#include <chrono>
#include <cstdint>
#include <vector>

namespace lacewingmux {

/** The operation that a caller requests from the owner of a program or claim. */
enum class OwnerOperation : std::uint8_t {
    OpenProgram, ///< body: {"parent": id} or empty; the owner generates the id
    Call,        ///< run call callNumber of program programId, or return its recorded response
    FetchCall,   ///< the whole recorded response; waits for a running call
    FetchHistory,
    EndProgram,
    ServiceCall,   ///< a service call outside a program
    ChatCompletion ///< one model call outside a program
};

/**
    A request of an authenticated caller, sent from the front end to the owner. It never contains
    the caller's key: the front end has verified and removed it.
*/
struct OwnerRequest
{
    OwnerOperation operation = OwnerOperation::Call;
    QString team;            ///< empty on an open route
    bool byOperator = false; ///< set only by the operators' port; allows programs of any team
    QString keyId;     ///< public id of the caller's key; if it is withdrawn, queued work ends
    QString programId; ///< text form of a MintedId
    std::uint32_t callNumber = 0; ///< from 1
    QString route;
    QString idempotencyKey;          ///< of a non-idempotent request outside a program
    QByteArray method;               ///< for a service: HTTP method
    QByteArray path;                 ///< for a service: path and query below the route
    std::vector<HttpHeader> headers; ///< without keys and hop-by-hop fields
    QByteArray body;
    bool stream = false; ///< whether the caller requested chunks as they arrive
    std::chrono::milliseconds timeout{120000}; ///< time left until the caller's request times out
};

} // namespace lacewingmux
