#include "lacewingmux_core/settings/SettingsReader.h"

#include <criterion/criterion.h>

#include <QByteArray>

#include <algorithm>

using namespace lacewingmux;

namespace {

void readSample(SettingsReader &reader)
{
    reader.text("name", {QStringLiteral("name"), QStringLiteral("1 to 8 characters"),
                         [](const QString &text) { return !text.isEmpty() && text.size() <= 8; },
                         std::nullopt});
    reader.integer("port", {QStringLiteral("port"), QStringLiteral(""), 0, 65535, 0});
    reader.objects("seeds", {QStringLiteral("seeds"), 0, 4}, [](SettingsReader &seed) {
        seed.milliseconds("waitMs", {QStringLiteral("wait"), {}, 1, 1000, std::nullopt});
    });
}

SettingsFindings read(const char *document)
{
    SettingsFindings findings;
    SettingsReader::readDocument(QByteArray(document), findings, readSample);
    return findings;
}

bool hasFault(const SettingsFindings &findings, const char *path, const char *part)
{
    return std::any_of(findings.faults.begin(), findings.faults.end(), [&](const auto &fault) {
        return fault.path == QLatin1String(path) && fault.message.contains(QLatin1String(part));
    });
}

} // namespace

Test(SettingsReader, acceptsASoundDocumentWithDefaults)
{
    cr_assert(read(R"({"name": "vm-1", "seeds": [{"waitMs": 5}]})").faults.empty());
}

Test(SettingsReader, reportsEveryFaultWithItsPath)
{
    const SettingsFindings findings = read(
            R"({"name": "", "port": 70000, "seeds": [{"waitMs": 5}, {"waitMs": 1.5, "x": 1}, 7], "extra": 1})");
    cr_assert(hasFault(findings, "name", "1 to 8 characters"));
    cr_assert(hasFault(findings, "port", "0 to 65535"));
    cr_assert(hasFault(findings, "seeds[1].waitMs", "1 to 1000 ms"));
    cr_assert(hasFault(findings, "seeds[1].x", "unknown field"));
    cr_assert(hasFault(findings, "seeds[2]", "an object"));
    cr_assert(hasFault(findings, "seeds[2].waitMs", "missing"));
    cr_assert(hasFault(findings, "extra", "unknown field"));
    cr_assert_eq(findings.faults.size(), 7);
}

Test(SettingsReader, namesTheByteOfASyntaxFault)
{
    cr_assert(hasFault(read("{\"name\": }"), "", "at byte"));
    cr_assert(hasFault(read("[]"), "", "object"));
}

Test(SettingsReader, describesEachFieldOnceForTheDocumentation)
{
    const SettingsFindings findings =
            read(R"({"name": "vm-1", "seeds": [{"waitMs": 5}, {"waitMs": 6}]})");
    cr_assert_eq(findings.fields.size(), 4);
    cr_assert(findings.fields.back().path == QLatin1String("seeds[].waitMs"));
    cr_assert(findings.fields.back().range == QLatin1String("1 to 1000 ms"));
}
