#include "lacewingmux_http/front/SentRequests.h"

#include "lacewingmux_core/hashing/StableHash.h"
#include "lacewingmux_program/requests/OwnerRequest.h"

namespace lacewingmux {

QByteArray requestIdentity(const OwnerRequest &request)
{
    if (request.operation == OwnerOperation::Call)
        return "call\n" + request.programId.toUtf8() + '\n'
               + QByteArray::number(request.callNumber);
    if (!request.idempotencyKey.isEmpty())
        return "key\n" + request.team.toUtf8() + '\n' + request.idempotencyKey.toUtf8();
    return {};
}

SentRequests::SentRequests(std::size_t maximumRequests)
    : maximum(maximumRequests)
{ }

void SentRequests::add(const OwnerRequest &request)
{
    const QByteArray identity = requestIdentity(request);
    if (identity.isEmpty() || !this->hashes.insert(stableHash(identity)).second)
        return;
    this->order.push_back(stableHash(identity));
    if (this->order.size() > this->maximum) {
        this->hashes.erase(this->order.front());
        this->order.pop_front();
    }
}

bool SentRequests::contains(const OwnerRequest &request) const
{
    const QByteArray identity = requestIdentity(request);
    return !identity.isEmpty() && this->hashes.count(stableHash(identity)) > 0;
}

} // namespace lacewingmux
