#pragma once

#include "lacewingmux_program/requests/HttpHeader.h"

#include <QByteArray>
#include <QString>

#include <chrono>
#include <cstdint>
#include <vector>

namespace lacewingmux {

/** What a caller asks of the owner of a program or claim. */
enum class OwnerOperation : std::uint8_t {
    OpenProgram, ///< body: {"parent": id} or empty; the owner mints the id
    Call,        ///< run call callNumber of program programId, or return its recorded answer
    FetchCall,   ///< the whole recorded answer, waiting for a call that still runs
    FetchHistory,
    EndProgram,
    ServiceCall,   ///< a plain service outside a program
    ChatCompletion ///< one model call outside a program
};

/**
    A request of an authenticated caller on its way from the front to the owner. It never carries
    the caller's key: the front has checked it and removed it.
*/
struct OwnerRequest
{
    OwnerOperation operation = OwnerOperation::Call;
    QString team;            ///< empty on an open route
    bool byOperator = false; ///< set by the operators' port alone: programs of any team
    QString keyId;           ///< public name of the key, so that its withdrawal can end queued work
    QString programId;       ///< text of the MintedId
    std::uint32_t callNumber = 0; ///< from 1
    QString route;
    QString idempotencyKey;          ///< of a non-idempotent request outside a program
    QByteArray method;               ///< for a service: HTTP method
    QByteArray path;                 ///< for a service: path and query below the route
    std::vector<HttpHeader> headers; ///< cleaned of keys and hop-by-hop fields
    QByteArray body;
    bool stream = false;                       ///< whether chunks are wanted as they arrive
    std::chrono::milliseconds timeout{120000}; ///< what is left of the caller's patience
};

} // namespace lacewingmux
