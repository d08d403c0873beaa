#include "lacewingmux_daemon/settings/DaemonSettingsReader.h"

#include <criterion/criterion.h>

#include <QFile>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

using namespace lacewingmux;

namespace {

/** Any file that is there. */
const QString presentFile = QStringLiteral(LACEWINGMUX_SOURCE_DIR "/CMakeLists.txt");

const char *const documentText = R"({
    "vm": "vm-1", "zone": "zone-a", "fleet": "co-centro", "zones": ["zone-a", "zone-b"],
    "callers": {"address": "127.0.0.1", "port": 8080},
    "operators": {"address": "127.0.0.1", "port": 8081},
    "peers": {"address": "127.0.0.1", "controlPort": 7400, "trafficPort": 7401,
              "seeds": [{"address": "127.0.0.2", "controlPort": 7400}],
              "sharedSecretFile": "FILE"},
    "store": {"endpoints": ["http://127.0.0.1:2379"]}
})";

QByteArray soundDocument()
{
    return QByteArray(documentText).replace("FILE", presentFile.toUtf8());
}

QJsonObject sound()
{
    return QJsonDocument::fromJson(soundDocument()).object();
}

SettingsFindings check(const QJsonObject &document)
{
    SettingsFindings findings;
    (void)DaemonSettingsReader::read(QJsonDocument(document).toJson(), findings);
    return findings;
}

QJsonObject with(QJsonObject document, const char *object, const char *field,
                 const QJsonValue &value)
{
    QJsonObject inner = document.value(QLatin1String(object)).toObject();
    inner.insert(QLatin1String(field), value);
    document.insert(QLatin1String(object), inner);
    return document;
}

bool faultsAre(const SettingsFindings &findings, const std::vector<const char *> &paths)
{
    return findings.faults.size() == paths.size()
           && std::all_of(paths.begin(), paths.end(), [&findings](const char *path) {
                  return std::any_of(findings.faults.begin(), findings.faults.end(),
                                     [path](const SettingsFault &fault) {
                                         return fault.path == QLatin1String(path);
                                     });
              });
}

} // namespace

Test(DaemonSettingsReader, acceptsASoundDocumentWithDefaults)
{
    SettingsFindings findings;
    const DaemonSettings settings = DaemonSettingsReader::read(soundDocument(), findings);
    cr_assert(findings.faults.empty(), "%s", qPrintable(findings.faultText()));
    cr_assert_eq(settings.peers.advertisedTrafficPort, 7401);
    cr_assert_eq(settings.limits.bodyBytes, 8388608);
    cr_assert(settings.membership.heartbeatInterval == std::chrono::milliseconds(200));
}

Test(DaemonSettingsReader, namesEveryFaultOfOneDocument)
{
    QJsonObject document = with(sound(), "callers", "port", 0);
    document = with(document, "peers", "address", QStringLiteral("vm-1.example"));
    document = with(document, "membership", "heartbeatIntervalMs", 1000);
    document = with(document, "store", "endpoint", QStringLiteral("http://127.0.0.1"));
    document.insert(QStringLiteral("zone"), QStringLiteral("zone-c"));
    document.insert(QStringLiteral("dataFolder"), QStringLiteral("/no/such/folder"));
    const SettingsFindings findings = check(document);
    cr_assert(faultsAre(findings, {"callers.port", "peers.address", "membership.failureTimeoutMs",
                                   "store.endpoint", "zones", "dataFolder"}),
              "%s", qPrintable(findings.faultText()));
}

Test(DaemonSettingsReader, wantsASecretOrTls)
{
    QJsonObject document = sound();
    QJsonObject peers = document.value(QStringLiteral("peers")).toObject();
    peers.remove(QStringLiteral("sharedSecretFile"));
    document.insert(QStringLiteral("peers"), peers);
    cr_assert(faultsAre(check(document), {"peers.sharedSecretFile"}));

    const QJsonObject files{{QStringLiteral("certificateFile"), presentFile},
                            {QStringLiteral("keyFile"), presentFile},
                            {QStringLiteral("authorityFile"), QStringLiteral("/no/such/file")}};
    cr_assert(faultsAre(check(with(document, "peers", "tls", files)), {"peers.tls.authorityFile"}));
}

Test(DaemonSettingsReader, readsAFileOrSaysWhyNot)
{
    SettingsFindings findings;
    (void)DaemonSettingsReader::readFile(QStringLiteral("/no/such/file"), findings);
    cr_assert_eq(findings.faults.size(), 1);
}

Test(DaemonSettingsReader, everyFieldStandsInTheDocumentationAsItIsChecked)
{
    QFile page(QStringLiteral(LACEWINGMUX_SOURCE_DIR "/docs/SETTINGS.md"));
    cr_assert(page.open(QIODevice::ReadOnly));
    const QStringList lines = QString::fromUtf8(page.readAll()).split(u'\n');
    const std::vector<SettingsField> fields = DaemonSettingsReader::fields();
    cr_assert_gt(fields.size(), 30);
    for (const SettingsField &field : fields)
        cr_assert(lines.contains(field.toTableRow()), "missing in docs/SETTINGS.md: %s",
                  qPrintable(field.toTableRow()));
    const auto rows = std::count_if(lines.begin(), lines.end(), [](const QString &line) {
        return line.startsWith(QStringLiteral("| `"));
    });
    cr_assert_eq(static_cast<std::size_t>(rows), fields.size(), "the page has rows of no field");
}
