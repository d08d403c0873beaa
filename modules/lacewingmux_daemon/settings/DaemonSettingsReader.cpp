#include "lacewingmux_daemon/settings/DaemonSettingsReader.h"

#include "lacewingmux_core/settings/SettingsReader.h"

#include <QFile>
#include <QFileInfo>
#include <QHostAddress>
#include <QUrl>

#include <algorithm>

namespace lacewingmux {

namespace {

constexpr qsizetype longestName = 64;
constexpr double highestPort = 65535;
constexpr qsizetype mostZones = 64;
constexpr qsizetype mostSeeds = 1024;
constexpr qsizetype mostEndpoints = 16;
constexpr double kibibyte = 1024;
constexpr double mebibyte = 1024 * kibibyte;

bool isName(const QString &text)
{
    const auto accepted = [](QChar letter) {
        return (letter.isLetterOrNumber() && letter.unicode() < 128) || letter == u'-'
               || letter == u'_' || letter == u'.';
    };
    return !text.isEmpty() && text.size() <= longestName
           && std::all_of(text.begin(), text.end(), accepted);
}

bool isIpAddress(const QString &text)
{
    return !QHostAddress(text).isNull();
}

bool isHttpUrl(const QString &text)
{
    const QUrl url(text, QUrl::StrictMode);
    const bool known =
            url.scheme() == QLatin1String("http") || url.scheme() == QLatin1String("https");
    return url.isValid() && known && !url.host().isEmpty();
}

bool isReadableFile(const QString &path)
{
    const QFileInfo file(path);
    return file.isFile() && file.isReadable();
}

bool isFolder(const QString &path)
{
    const QFileInfo folder(path);
    return folder.isDir() && folder.isWritable();
}

TextRule nameRule(const QString &meaning)
{
    return {meaning, QStringLiteral("1 to 64 letters, digits, '-', '_' or '.'"), isName,
            std::nullopt};
}

TextRule addressRule(const QString &meaning)
{
    return {meaning, QStringLiteral("IP number"), isIpAddress, std::nullopt};
}

NumberRule portRule(const QString &meaning)
{
    return {meaning, QString(), 1, highestPort, std::nullopt};
}

std::uint16_t readPort(SettingsReader &reader, const char *name, const NumberRule &rule)
{
    return static_cast<std::uint16_t>(reader.integer(name, rule));
}

TextRule fileRule(const QString &meaning)
{
    return {meaning, QStringLiteral("path of a readable file"), isReadableFile, std::nullopt};
}

QString readOptionalFile(SettingsReader &reader, const char *name, const QString &meaning)
{
    TextRule rule = fileRule(meaning);
    rule.fallback = QString();
    return reader.text(name, rule);
}

void readIdentity(SettingsReader &reader, DaemonSettings &settings)
{
    settings.vm =
            reader.text("vm", nameRule(QStringLiteral("name of this VM, unique in the fleet")));
    settings.zone = reader.text("zone", nameRule(QStringLiteral("availability zone of this VM")));
    settings.fleet = reader.text("fleet", nameRule(QStringLiteral("name of the fleet; daemons of "
                                                                  "different fleets never link")));
    settings.zones = reader.texts(
            "zones",
            {QStringLiteral("all availability zones of the fleet, the same list on every VM"), 1,
             mostZones},
            nameRule(QString()));
    const auto own = std::find(settings.zones.begin(), settings.zones.end(), settings.zone);
    if (own == settings.zones.end())
        reader.fault("zones",
                     QStringLiteral("does not contain this VM's zone \"%1\"").arg(settings.zone));
}

void readListener(SettingsReader &reader, ListenSettings &settings, const QString &whom)
{
    settings.address = reader.text(
            "address", addressRule(QStringLiteral("where this daemon listens for ") + whom));
    settings.port = readPort(reader, "port", portRule(QStringLiteral("port for ") + whom));
}

void readAdvertised(SettingsReader &reader, PeerSettings &settings)
{
    settings.advertisedAddress = settings.address;
    settings.advertisedControlPort = settings.controlPort;
    settings.advertisedTrafficPort = settings.trafficPort;
    reader.optionalObject("advertised", [&settings](SettingsReader &advertised) {
        settings.advertisedAddress = advertised.text(
                "address",
                addressRule(QStringLiteral("address that peers dial, where it differs")));
        settings.advertisedControlPort =
                readPort(advertised, "controlPort",
                         portRule(QStringLiteral("control port that peers dial")));
        settings.advertisedTrafficPort =
                readPort(advertised, "trafficPort",
                         portRule(QStringLiteral("traffic port that peers dial")));
    });
}

void readTrust(SettingsReader &reader, PeerSettings &settings)
{
    settings.sharedSecretFile = readOptionalFile(
            reader, "sharedSecretFile",
            QStringLiteral("file with the secret that every daemon of the fleet proves; required "
                           "unless tls is set"));
    TlsFileSet files;
    const bool hasTls = reader.optionalObject("tls", [&files](SettingsReader &tls) {
        files.certificateFile = tls.text("certificateFile",
                                         fileRule(QStringLiteral("certificate of this VM, PEM")));
        files.keyFile = tls.text("keyFile", fileRule(QStringLiteral("its private key, PEM")));
        files.authorityFile = tls.text(
                "authorityFile",
                fileRule(QStringLiteral("certificates of the fleet's own authority, PEM")));
    });
    if (hasTls)
        settings.tls = files;
    else if (settings.sharedSecretFile.isEmpty())
        reader.fault("sharedSecretFile", QStringLiteral("missing; without tls it is required"));
}

void readSeeds(SettingsReader &reader, PeerSettings &settings)
{
    const ListRule rule{QStringLiteral("other daemons to ask at the start, of any zone"), 0,
                        mostSeeds};
    reader.objects("seeds", rule, [&settings](SettingsReader &seed) {
        SeedPeer peer;
        peer.address = seed.text("address", addressRule(QStringLiteral("address of the daemon")));
        peer.controlPort =
                readPort(seed, "controlPort", portRule(QStringLiteral("its control port")));
        settings.seeds.push_back(peer);
    });
}

void readPeers(SettingsReader &reader, PeerSettings &settings)
{
    settings.address = reader.text(
            "address",
            addressRule(QStringLiteral("where this daemon listens for peers, and dials from")));
    settings.controlPort = readPort(reader, "controlPort",
                                    portRule(QStringLiteral("port of the control channel")));
    settings.trafficPort = readPort(reader, "trafficPort",
                                    portRule(QStringLiteral("port of the traffic channel")));
    readAdvertised(reader, settings);
    readSeeds(reader, settings);
    readTrust(reader, settings);
    settings.frameLimitBytes =
            reader.integer("frameLimitBytes",
                           {QStringLiteral("longest frame between daemons; the same on every VM"),
                            QStringLiteral("bytes"), mebibyte, 256 * mebibyte, 16 * mebibyte});
    settings.sendBufferLimitBytes = reader.integer(
            "sendBufferLimitBytes",
            {QStringLiteral("unsent bytes of one link; a link that would pass it is closed"),
             QStringLiteral("bytes"), mebibyte, 1024 * mebibyte, 64 * mebibyte});
}

void readStore(SettingsReader &reader, StoreSettings &settings)
{
    settings.endpoints = reader.texts(
            "endpoints",
            {QStringLiteral("the platform's store, tried in this order"), 1, mostEndpoints},
            {QString(), QStringLiteral("http or https URL"), isHttpUrl, std::nullopt});
    settings.callsPerSecond = reader.number(
            "callsPerSecond", {QStringLiteral("calls to the store in the long run, a waiting watch "
                                              "counted as one"),
                               QStringLiteral("calls per second"), 1, 1000, 25});
    settings.burstCalls = reader.number(
            "burstCalls", {QStringLiteral("calls that may be made at once after a quiet time"),
                           QStringLiteral("calls"), 1, 1000, 50});
    settings.callTimeout = reader.milliseconds(
            "callTimeoutMs",
            {QStringLiteral("how long a call may take before its outcome counts as unknown"),
             {},
             50,
             60000,
             2000});
}

void readLimits(SettingsReader &reader, CallerLimitSettings &settings)
{
    const QString bytes = QStringLiteral("bytes");
    settings.bodyBytes =
            reader.integer("bodyBytes", {QStringLiteral("longest body of a request"), bytes,
                                         kibibyte, 64 * mebibyte, 8 * mebibyte});
    settings.headerBytes =
            reader.integer("headerBytes", {QStringLiteral("longest request line with headers"),
                                           bytes, kibibyte, mebibyte, 64 * kibibyte});
    settings.connections = static_cast<int>(reader.integer(
            "connections", {QStringLiteral("connections of callers at once; more are refused"),
                            QStringLiteral("connections"), 1, 100000, 4096}));
    settings.idleTimeout = reader.milliseconds(
            "idleTimeoutMs", {QStringLiteral("until a connection without a request is closed"),
                              {},
                              1000,
                              3600000,
                              75000});
    settings.slowRequestTimeout = reader.milliseconds(
            "slowRequestTimeoutMs", {QStringLiteral("from the first byte of a request to its last"),
                                     {},
                                     1000,
                                     3600000,
                                     30000});
}

void readMembership(SettingsReader &reader, MembershipSettings &settings)
{
    settings.heartbeatInterval = reader.milliseconds(
            "heartbeatIntervalMs",
            {QStringLiteral("between two heartbeats to the VMs of the zone"), {}, 20, 10000, 200});
    settings.failureTimeout = reader.milliseconds(
            "failureTimeoutMs",
            {QStringLiteral("silence after which a VM is dropped from the view"),
             {},
             100,
             60000,
             1500});
    constexpr int fewestHeartbeats = 3;
    if (settings.failureTimeout < settings.heartbeatInterval * fewestHeartbeats)
        reader.fault("failureTimeoutMs",
                     QStringLiteral("must be at least three times heartbeatIntervalMs"));
}

void readStop(SettingsReader &reader, StopSettings &settings)
{
    settings.balancerDelay = reader.milliseconds(
            "balancerDelayMs",
            {QStringLiteral("from unready at /readyz until connections are refused"),
             {},
             0,
             600000,
             5000});
    settings.timeout = reader.milliseconds(
            "timeoutMs", {QStringLiteral("longest planned stop; what runs then is cut off"),
                          {},
                          1000,
                          3600000,
                          300000});
}

void readLog(SettingsReader &reader, LogSettings &settings)
{
    settings.folder = reader.text("folder", {QStringLiteral("where log files go; empty means "
                                                            "the standard error stream"),
                                             QStringLiteral("path of a writable folder"), isFolder,
                                             QString()});
    const auto isLevel = [](const QString &text) {
        return text == QLatin1String("info") || text == QLatin1String("warning")
               || text == QLatin1String("error");
    };
    settings.level = reader.text("level", {QStringLiteral("least severity that is logged"),
                                           QStringLiteral("info, warning or error"), isLevel,
                                           QStringLiteral("info")});
}

void readAll(SettingsReader &reader, DaemonSettings &settings)
{
    readIdentity(reader, settings);
    reader.object("callers", [&settings](SettingsReader &callers) {
        readListener(callers, settings.callers, QStringLiteral("callers"));
    });
    reader.object("operators", [&settings](SettingsReader &operators) {
        readListener(operators, settings.operators, QStringLiteral("operators"));
        settings.operatorTokenFile = readOptionalFile(
                operators, "tokenFile",
                QStringLiteral("file with the token that operators present; without it the port "
                               "asks for none"));
    });
    reader.object("peers",
                  [&settings](SettingsReader &peers) { readPeers(peers, settings.peers); });
    reader.object("store",
                  [&settings](SettingsReader &store) { readStore(store, settings.store); });
    settings.dataFolder = reader.text(
            "dataFolder", {QStringLiteral("disk for copies of other zones; empty "
                                          "when this VM has none"),
                           QStringLiteral("path of a writable folder"), isFolder, QString()});
    reader.object("limits",
                  [&settings](SettingsReader &limits) { readLimits(limits, settings.limits); });
    reader.object("membership", [&settings](SettingsReader &membership) {
        readMembership(membership, settings.membership);
    });
    reader.object("stop", [&settings](SettingsReader &stop) { readStop(stop, settings.stop); });
    reader.object("log", [&settings](SettingsReader &log) { readLog(log, settings.log); });
}

/** A document that has every optional object and an element in every list. */
constexpr const char *everyObject = R"({"peers": {"advertised": {}, "seeds": [{}], "tls": {}}})";

} // namespace

DaemonSettings DaemonSettingsReader::read(const QByteArray &document, SettingsFindings &findings)
{
    DaemonSettings settings;
    SettingsReader::readDocument(
            document, findings, [&settings](SettingsReader &reader) { readAll(reader, settings); });
    return settings;
}

DaemonSettings DaemonSettingsReader::readFile(const QString &path, SettingsFindings &findings)
{
    QFile file(path);
    if (file.open(QIODevice::ReadOnly))
        return DaemonSettingsReader::read(file.readAll(), findings);
    findings.faults.push_back({QString(), QStringLiteral("%1: %2").arg(path, file.errorString())});
    return {};
}

std::vector<SettingsField> DaemonSettingsReader::fields()
{
    SettingsFindings findings;
    (void)DaemonSettingsReader::read(everyObject, findings);
    return findings.fields;
}

} // namespace lacewingmux
