#include "lacewingmux_core/settings/SettingsFindings.h"
#include "lacewingmux_gateway/routing/RoutingTable.h"
#include "platform/ConfigurationDocument.h"
#include "platform/PlatformSettings.h"

#include <criterion/criterion.h>

#include <QList>

using namespace lacewingmux;
using std::chrono::hours;
using std::chrono::milliseconds;

namespace {

/** Numbers that no count or time is, and values of another type. */
QList<QByteArray> oddNumbers()
{
    return {"1e30",
            "-1e30",
            "1e300",
            "-1",
            "1.5",
            "4294967376",
            "9223372036854775807",
            "9223372036854775808",
            "-9223372036854775808",
            "18446744073709551616",
            R"("7")",
            "null",
            "true",
            "[7]",
            "{}",
            QByteArray(500, '[') + QByteArray(500, ']')};
}

/** Returns a configuration with the number in each field that takes one. */
std::shared_ptr<const RoutingTable> tableWith(const QByteArray &number)
{
    QByteArray text = R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/","type":"stream",
 "timeoutMs":N,"targetLatencyMs":N,"priority":N,"attempts":N,"retentionS":N,"gapAimMs":N,
 "trafficSplit":[{"service":"s","weight":N},{"service":"t","weight":N},{"service":"u","weight":N}]}],
 "services":[{"name":"s","maxConns":N,"engine":{"tokensPerEvent":N},"coldStartS":N,"coldPerS":N}],
 "limits":{"maxHeaderBytes":N,"maxBodyBytes":N,"headerTimeoutMs":N,"idleTimeoutMs":N},
 "tenants":[{"name":"t","apiKeys":["k",N],"priority":N,"ratePerS":N,"burst":N}]})";
    text.replace(":N", ':' + number).replace(",N]", ',' + number + ']');
    return readConfiguration(text);
}

bool isBetween(milliseconds time, milliseconds least, milliseconds most)
{
    return time >= least && time <= most;
}

} // namespace

// Conversions of such numbers are undefined, and sums with them overflowed.
Test(odd_configuration, has_bounded_numbers)
{
    for (const QByteArray &number : oddNumbers()) {
        const auto table = tableWith(number);
        cr_assert_not_null(table.get(), "%s", number.constData());
        const GatewayRoute *route = table->route("h", "/");
        cr_expect(isBetween(route->timeout, milliseconds(0), hours(24)), "%s", number.constData());
        cr_expect(isBetween(route->retention, milliseconds(0), hours(24 * 365)), "%s",
                  number.constData());
        cr_expect(route->priority >= 0 && route->priority <= 1000000, "%s", number.constData());
        cr_expect(route->attempts >= 0 && route->attempts <= 1000000, "%s", number.constData());
        for (const RouteTarget &target : route->targets)
            cr_expect(target.weight >= 0 && target.weight <= 1000000, "%s", number.constData());
        const GatewayService *service = table->service("s");
        cr_expect(service->tokensPerEvent >= 0 && service->tokensPerEvent <= 1000000, "%s",
                  number.constData());
        const GatewayTeam *team = table->teamOfKey("k");
        cr_expect(team->priority >= 0 && team->priority <= 1000000, "%s", number.constData());
        cr_expect(team->requestsPerSecond >= 0 && team->requestsPerSecond <= 1e7, "%s",
                  number.constData());
        cr_expect(team->burst >= 0 && team->burst <= 1e9, "%s", number.constData());
        const HttpLimits &limits = table->limits();
        cr_expect(limits.headerBytes >= 1 && limits.headerBytes <= 1U << 30, "%s",
                  number.constData());
        cr_expect_leq(limits.bodyBytes, std::uint64_t{1} << 40, "%s", number.constData());
        cr_expect(isBetween(limits.headerTimeout, milliseconds(0), hours(24)), "%s",
                  number.constData());
        cr_expect(isBetween(limits.idleTimeout, milliseconds(0), hours(24)), "%s",
                  number.constData());
    }
}

Test(odd_configuration, that_is_no_document_gives_no_table)
{
    for (const QByteArray &text : QList<QByteArray>{
                 QByteArray(2000, '['), QByteArray(100000, '[') + QByteArray(100000, ']'),
                 R"({"version":7,"routes":)" + QByteArray(2000, '[') + QByteArray(2000, ']') + '}',
                 R"({"version":1e400})", R"({"version":1e30})", R"({"version":-1})",
                 R"({"version":1.5})", R"({"version":18446744073709551616})", "7", "null"})
        cr_expect_null(readConfiguration(text).get(), "%s", text.left(100).constData());
}

// Conversions of such numbers are undefined, so the limits differed between machines.
Test(odd_settings, report_numbers_out_of_range)
{
    const QByteArray settings = R"({"nodeName":"a","zone":"a","ip":"10.1.0.11",
 "internalPortRange":[7780,7795],"limits":{"memoryMb":110,"maxFds":4100},
 "faultTolerance":{"machines":1},"bounds":{"graceS":8,"drainMs":1500,"evacuateMs":5000},
 "provider":{"address":"10.200.1.7:8362"}})";
    for (const QByteArray &field :
         QList<QByteArray>{"\"memoryMb\":110", "\"maxFds\":4100", "\"machines\":1", "\"graceS\":8",
                           "\"drainMs\":1500", "\"evacuateMs\":5000"}) {
        SettingsFindings sound;
        (void)PlatformSettings::read(settings, sound);
        cr_assert(sound.faults.empty(), "%s", sound.faultText().toStdString().c_str());
        const QByteArray name = field.left(field.indexOf(':') + 1);
        for (const QByteArray &number :
             QList<QByteArray>{"1e30", "-1e30", "-1", "9223372036854775808", "1e300"}) {
            SettingsFindings findings;
            QByteArray text = settings;
            text.replace(field, name + number);
            (void)PlatformSettings::read(text, findings);
            cr_expect_eq(findings.faults.size(), 1, "%s%s", name.constData(), number.constData());
        }
    }
}
