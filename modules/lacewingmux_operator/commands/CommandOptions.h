#pragma once

#include <QByteArray>
#include <QString>
#include <QStringList>
#include <QUrl>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace lacewingmux {

/** The command line of lacewingmuxctl, read. */
struct CommandOptions
{
    QStringList words; ///< the sub-command and its arguments, for example "config" "get"
    std::vector<QUrl> storeEndpoints;
    std::vector<QUrl> operatorEndpoints; ///< of daemons
    QByteArray token;                    ///< for the daemons; empty when they ask for none
    bool json = false;
    bool wait = false;
    std::chrono::seconds waitTimeout{30};
    std::optional<std::uint64_t> revision;
    QString team;
    QString author;
    QStringList assignments; ///< "/json/pointer=value"
    QStringList removals;    ///< "/json/pointer"
    QString htmlFile;

    /** Reads the command line. Throws LacewingmuxError (MalformedRequest) with what is wrong. */
    [[nodiscard]] static CommandOptions parse(int argumentCount, const char *const *arguments);

    /** Returns the text of --help. */
    [[nodiscard]] static QString helpText();
};

} // namespace lacewingmux
