#pragma once

#include <QString>

class QSslConfiguration;

namespace lacewingmux {

/** The files of one VM for TLS between daemons, all in PEM. */
struct TlsFileSet
{
    QString certificateFile; ///< of this VM
    QString keyFile;         ///< its private key, RSA or elliptic curve
    QString authorityFile;   ///< who signs the VMs of the fleet, and nothing else

    /**
        Loads the files into a configuration in which both ends verify each other. Throws
        LacewingmuxError of kind ConfigurationInvalid naming the file that can't be used.
    */
    [[nodiscard]] QSslConfiguration load() const;
};

} // namespace lacewingmux
