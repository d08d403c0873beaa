#include "lacewingmux_tunnel/messages/TunnelRequest.h"

#include <QCryptographicHash>
#include <QMessageAuthenticationCode>

namespace lacewingmux {

QByteArray TunnelRequest::proofFor(const QByteArray &secret, const QHostAddress &address,
                                   std::uint16_t port)
{
    const QByteArray text =
            "tunnel " + address.toString().toLatin1() + ':' + QByteArray::number(port);
    return QMessageAuthenticationCode::hash(text, secret, QCryptographicHash::Sha256);
}

} // namespace lacewingmux
