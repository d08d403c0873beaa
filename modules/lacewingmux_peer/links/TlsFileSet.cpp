#include "lacewingmux_peer/links/TlsFileSet.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QFile>
#include <QSslCertificate>
#include <QSslConfiguration>
#include <QSslKey>
#include <QSslSocket>

namespace lacewingmux {

namespace {

[[noreturn]] void refuse(const QString &file, const QString &reason)
{
    throw LacewingmuxError(ErrorKind::ConfigurationInvalid,
                           QStringLiteral("TLS file %1: %2").arg(file, reason));
}

QByteArray contentOf(const QString &path)
{
    QFile file(path);
    if (!file.open(QIODevice::ReadOnly))
        refuse(path, file.errorString());
    return file.readAll();
}

QList<QSslCertificate> certificatesIn(const QString &path)
{
    const QList<QSslCertificate> certificates =
            QSslCertificate::fromData(contentOf(path), QSsl::Pem);
    if (certificates.isEmpty())
        refuse(path, QStringLiteral("no certificate in PEM"));
    return certificates;
}

QSslKey keyIn(const QString &path)
{
    const QByteArray content = contentOf(path);
    for (const QSsl::KeyAlgorithm algorithm : {QSsl::Rsa, QSsl::Ec}) {
        const QSslKey key(content, algorithm, QSsl::Pem, QSsl::PrivateKey);
        if (!key.isNull())
            return key;
    }
    refuse(path, QStringLiteral("no private key in PEM"));
}

} // namespace

QSslConfiguration TlsFileSet::load() const
{
    if (!QSslSocket::supportsSsl())
        refuse(this->certificateFile, QStringLiteral("this build of Qt has no TLS"));
    QSslConfiguration configuration;
    configuration.setLocalCertificateChain(certificatesIn(this->certificateFile));
    configuration.setPrivateKey(keyIn(this->keyFile));
    configuration.setCaCertificates(certificatesIn(this->authorityFile));
    configuration.setPeerVerifyMode(QSslSocket::VerifyPeer);
    configuration.setProtocol(QSsl::TlsV1_2OrLater);
    return configuration;
}

} // namespace lacewingmux
