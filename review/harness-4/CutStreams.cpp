// Streams with large requests are under way when a burst of usual requests comes to the same entry
// VM. Exits with 1 if more than three of the streams are cut off.

#include "Exchange.h"
#include "Fleet.h"
#include "Record.h"

#include "deployment/EventLoopWait.h"

#include <QCoreApplication>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <tuple>
#include <vector>

namespace {

using lacewingmux::review::Exchange;
using lacewingmux::review::Fleet;
using lacewingmux::review::Record;
using std::chrono::milliseconds;

constexpr int heldExit = 0;
constexpr int brokenExit = 1;
constexpr int notRunExit = 2;
constexpr int largeCount = 140;
constexpr qsizetype largeBytes = 100'000; // the site's largest request
constexpr int usualCount = 90;            // 1.6 times as many as before, in all
constexpr qsizetype usualBytes = 17'000;  // the site's usual request
constexpr int allowedCuts = 3;
constexpr milliseconds sendInterval{5};
constexpr milliseconds timeBeforeBurst{600};
constexpr milliseconds bound{8000};

using Exchanges = std::vector<std::unique_ptr<Exchange>>;

/** Waits while events are handled. */
void pause(milliseconds time)
{
    std::ignore = lacewingmux::standin::waitUntil([] { return false; }, time);
}

Exchange::Fields fieldsOf(const QByteArray &id)
{
    return {{"Lacewingmux-Request-Id", id},
            {"Lacewingmux-Token-Usage", "2000,260"},
            {"Lacewingmux-Deadline-Ms", "5000"}};
}

bool waitForAll(const Exchanges &exchanges)
{
    return lacewingmux::standin::waitUntil(
            [&exchanges] {
                return std::all_of(exchanges.begin(), exchanges.end(),
                                   [](const auto &exchange) { return exchange->hasEnded(); });
            },
            bound);
}

/** Opens connections with a small request each, so that they are kept ones. */
Exchanges connect(const Fleet &fleet)
{
    Exchanges exchanges;
    for (int number = 0; number < largeCount; ++number) {
        exchanges.push_back(std::make_unique<Exchange>(
                fleet.entryAddress(0), Fleet::ingressPort, "/once/x?work=1",
                fieldsOf("first-" + QByteArray::number(number)), QByteArray("x")));
        pause(sendInterval);
    }
    std::ignore = waitForAll(exchanges);
    return exchanges;
}

int run(const QStringList &arguments)
{
    const bool troubled = qEnvironmentVariable("TROUBLE", QStringLiteral("1")) != u'0';
    Record record(arguments.at(3));
    Fleet fleet(arguments.at(1), arguments.at(2));
    if (!fleet.start()) {
        record.write(QStringLiteral("the entry VMs did not become ready"));
        return notRunExit;
    }
    record.write(QStringLiteral("all entry VMs are ready"));
    const Exchanges large = connect(fleet);
    for (int number = 0; number < largeCount; ++number) {
        large[static_cast<std::size_t>(number)]->sendNext(
                "/stream/x?events=18&interval=200", fieldsOf("large-" + QByteArray::number(number)),
                QByteArray(largeBytes, 'l'));
        pause(sendInterval);
    }
    record.write(QStringLiteral("%1 streams with %2 bytes of input have been sent")
                         .arg(largeCount)
                         .arg(largeBytes));
    pause(timeBeforeBurst);
    Exchanges usual;
    if (troubled) {
        record.write(
                QStringLiteral("%1 requests of %2 bytes come").arg(usualCount).arg(usualBytes));
        for (int number = 0; number < usualCount; ++number)
            usual.push_back(std::make_unique<Exchange>(
                    fleet.entryAddress(0), Fleet::ingressPort, "/stream/x?events=18&interval=50",
                    fieldsOf("usual-" + QByteArray::number(number)), QByteArray(usualBytes, 'u')));
    }
    std::ignore = waitForAll(large);
    std::ignore = waitForAll(usual);
    int served = 0;
    int cut = 0;
    for (int number = 0; number < largeCount; ++number) {
        const Exchange &exchange = *large[static_cast<std::size_t>(number)];
        served += exchange.isWhole() && exchange.status() == 200 ? 1 : 0;
        cut += exchange.isWhole() ? 0 : 1;
        record.write(QStringLiteral("large-%1: %2, %3, %4 of 18 events")
                             .arg(number)
                             .arg(exchange.status())
                             .arg(exchange.isWhole() ? QStringLiteral("whole")
                                                     : QStringLiteral("cut off"))
                             .arg(exchange.body().count("data: ")));
    }
    const auto usualServed = std::count_if(usual.begin(), usual.end(), [](const auto &exchange) {
        return exchange->isWhole() && exchange->status() == 200;
    });
    record.write(QStringLiteral("usual requests served: %1").arg(usualServed));
    for (const QString &line : fleet.replicaRuns())
        record.write(line);
    std::cout << "large streams: " << served << " served, " << cut
              << " cut off; usual requests: " << usualServed << " served\n";
    if (served + cut < largeCount / 2)
        return notRunExit;
    return cut > allowedCuts ? brokenExit : heldExit;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const QCoreApplication application(argc, argv);
        return run(QCoreApplication::arguments());
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return notRunExit;
    }
}
