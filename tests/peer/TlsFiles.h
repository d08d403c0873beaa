#pragma once

#include <QProcess>
#include <QSslConfiguration>
#include <QString>
#include <QStringList>
#include <QTemporaryDir>

#include "lacewingmux_peer/links/TlsFileSet.h"

namespace lacewingmux {

/** Certificates of two authorities, made by the openssl command in a temporary folder. */
class TlsFiles
{
public:
    TlsFiles()
    {
        for (const char *authority : {"fleet", "stranger"})
            this->makeAuthority(QString::fromLatin1(authority));
    }

    /** Makes a certificate signed by the authority and returns the configuration for it. */
    [[nodiscard]] QSslConfiguration configuration(const char *authority, const char *vm) const
    {
        const QString name = QString::fromLatin1(vm);
        const QString signer = QString::fromLatin1(authority);
        this->openssl({QStringLiteral("req"), QStringLiteral("-newkey"), QStringLiteral("rsa:2048"),
                       QStringLiteral("-nodes"), QStringLiteral("-keyout"), this->file(name, "key"),
                       QStringLiteral("-out"), this->file(name, "csr"), QStringLiteral("-subj"),
                       QStringLiteral("/CN=") + name});
        this->openssl({QStringLiteral("x509"), QStringLiteral("-req"), QStringLiteral("-in"),
                       this->file(name, "csr"), QStringLiteral("-CA"), this->file(signer, "crt"),
                       QStringLiteral("-CAkey"), this->file(signer, "key"),
                       QStringLiteral("-CAcreateserial"), QStringLiteral("-days"),
                       QStringLiteral("2"), QStringLiteral("-out"), this->file(name, "crt")});
        return TlsFileSet{this->file(name, "crt"), this->file(name, "key"),
                          this->file(signer, "crt")}
                .load();
    }

private:
    void makeAuthority(const QString &name) const
    {
        this->openssl({QStringLiteral("req"), QStringLiteral("-x509"), QStringLiteral("-newkey"),
                       QStringLiteral("rsa:2048"), QStringLiteral("-nodes"),
                       QStringLiteral("-days"), QStringLiteral("2"), QStringLiteral("-keyout"),
                       this->file(name, "key"), QStringLiteral("-out"), this->file(name, "crt"),
                       QStringLiteral("-subj"), QStringLiteral("/CN=") + name});
    }
    [[nodiscard]] QString file(const QString &name, const char *suffix) const
    {
        return this->folder.filePath(name + u'.' + QString::fromLatin1(suffix));
    }
    static void openssl(const QStringList &arguments)
    {
        QProcess process;
        process.start(QStringLiteral("openssl"), arguments);
        process.waitForFinished();
    }

    QTemporaryDir folder;
};

} // namespace lacewingmux
