#include "http/ForwardFixture.h"

#include "lacewingmux_core/ids/MintedId.h"

namespace lacewingmux::test {

namespace {

ForwarderSettings testSettings()
{
    ForwarderSettings settings;
    settings.configuredZones = {QStringLiteral("a"), QStringLiteral("b")};
    return settings;
}

} // namespace

ResponseSink sinkInto(SeenAnswer &seen)
{
    ResponseSink sink;
    sink.begin = [&seen](int, const std::vector<HttpHeader> &headers) {
        ++seen.begins;
        seen.headers = headers;
    };
    sink.chunk = [&seen](const QByteArray &bytes) { seen.body += bytes; };
    sink.end = [&seen] { ++seen.ends; };
    sink.fail = [&seen](const LacewingmuxError &error) { seen.error.emplace(error); };
    return sink;
}

ForwardingVm::ForwardingVm(InMemoryPeerNetwork &network, TimerService &timers,
                           const VmIncarnation &self, OwnerService &owner)
    : incarnation(self)
    , hub(network.makeHub(self))
    , receiver(*hub, owner)
    , forwarder(timers, metrics, *hub, owner, sent, testSettings())
{ }

VmIncarnation incarnationOf(const QString &vm, const QString &zone)
{
    return {vm, zone, 1};
}

std::shared_ptr<const FleetViews> viewsOf(const std::vector<VmIncarnation> &vms,
                                          std::uint64_t epoch)
{
    std::map<QString, std::vector<VmDescriptor>> members;
    for (const VmIncarnation &vm : vms)
        members[vm.zone].push_back({vm, QStringLiteral("127.0.0.1"), 0, 0, false});
    std::map<QString, std::shared_ptr<const ZoneView>> views;
    for (const auto &[zone, descriptors] : members)
        views[zone] = std::make_shared<ZoneView>(zone, epoch, descriptors);
    return std::make_shared<FleetViews>(views);
}

OwnerRequest callOf(int program, std::uint32_t number, bool stream)
{
    OwnerRequest request;
    request.operation = OwnerOperation::Call;
    request.programId = MintedId(QStringLiteral("a"), 1, QStringLiteral("a1"), 1,
                                 static_cast<std::uint64_t>(program))
                                .toString();
    request.callNumber = number;
    request.stream = stream;
    request.team = QStringLiteral("one");
    return request;
}

} // namespace lacewingmux::test
