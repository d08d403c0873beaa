#include "lacewingmux_relay/links/RelayClient.h"

#include "lacewingmux_core/hashing/StableHash.h"
#include "lacewingmux_core/logging/StructuredLog.h"
#include "lacewingmux_relay/messages/RelayCodec.h"

#include <algorithm>
#include <utility>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds checkInterval{200};
constexpr milliseconds renewalInterval{1000};
constexpr milliseconds statusTimeout{1200};     // three status intervals of a relay
constexpr milliseconds maximumContactAge{3200}; // above the longest poll of a relay's watches
constexpr milliseconds trialTime{600};          // a new relay first reads the store
constexpr std::size_t usualRelays = 2;          // one may stop without a gap
// Each further subscription may cost a transfer of the whole contents. If the store rejects a third
// of the VMs, all six of many relays are among them for one subscriber in seven hundred.
constexpr std::size_t mostRelays = 6;
// Above the jitter with which the statuses of a relay arrive.
constexpr milliseconds reachableSinceTolerance{100};

} // namespace

RelayClient::RelayClient(PeerHub &peerHub, TimerService &timerService, Hooks clientHooks)
    : hub(peerHub)
    , timers(timerService)
    , hooks(std::move(clientHooks))
{
    this->hub.setHandler(FrameKind::RelayUpdate, [this](const auto &peer, const auto &frame) {
        const auto relay = this->relays.find(peer);
        const auto update = RelayCodec::decodeUpdate(frame.payload);
        if (relay == this->relays.end() || !update)
            return;
        relay->second.hasContents = true;
        if (update->isFull)
            this->knownPrefixes[peer].insert(update->prefix);
        this->hooks.update(*update);
    });
    this->hub.setHandler(FrameKind::RelayStatus, [this](const auto &peer, const auto &frame) {
        const auto relay = this->relays.find(peer);
        const auto status = RelayCodec::decodeStatus(frame.payload);
        if (relay == this->relays.end() || !status)
            return;
        relay->second.status = status;
        relay->second.statusAt = this->timers.now();
        this->updateContact();
    });
    this->hub.addLinkHandler([this](const VmIncarnation &peer, bool up) {
        // After a start, the preferred relays are often not the first that are connected.
        if (up)
            return;
        this->relays.erase(peer);
        this->knownPrefixes.erase(peer);
        this->check();
    });
    this->checkTimer = this->timers.every(checkInterval, [this] { this->check(); });
}

void RelayClient::setCandidates(const std::vector<VmIncarnation> &candidates)
{
    this->preferences = ranked(candidates, this->hub.self().zone);
}

void RelayClient::setStoreReachable(bool reachable)
{
    if (reachable)
        this->storeLostSince.reset();
    else if (!this->storeLostSince)
        this->storeLostSince = this->timers.now();
}

std::vector<VmIncarnation> RelayClient::ranked(const std::vector<VmIncarnation> &candidates,
                                               const QString &zone)
{
    // Every zone prefers the same relay of its own, so that few VMs watch the store.
    std::map<QString, std::vector<VmIncarnation>> byZone;
    for (const VmIncarnation &candidate : candidates)
        byZone[candidate.zone].push_back(candidate);
    for (auto &[name, members] : byZone) {
        const std::uint64_t zoneHash = stableHash(name.toUtf8());
        const auto hashOf = [zoneHash](const VmIncarnation &member) {
            return combineHashes(zoneHash, stableHash(member.vm.toUtf8()));
        };
        std::sort(members.begin(), members.end(), [&hashOf](const auto &left, const auto &right) {
            return hashOf(left) < hashOf(right);
        });
    }
    std::vector<VmIncarnation> own = std::move(byZone[zone]);
    byZone.erase(zone);
    std::vector<VmIncarnation> others;
    for (std::size_t rank = 0; others.size() + own.size() < candidates.size(); ++rank) {
        // The zones follow each other in a ring, which spreads the subscribers.
        const auto next = byZone.upper_bound(zone);
        const auto append = [&others, rank](auto first, auto last) {
            for (auto entry = first; entry != last; ++entry) {
                if (rank < entry->second.size())
                    others.push_back(entry->second[rank]);
            }
        };
        append(next, byZone.end());
        append(byZone.begin(), next);
    }
    std::vector<VmIncarnation> order;
    for (std::size_t rank = 0; order.size() < candidates.size(); ++rank) {
        if (rank < own.size())
            order.push_back(own[rank]);
        if (rank < others.size())
            order.push_back(others[rank]);
    }
    return order;
}

void RelayClient::check()
{
    if (std::exchange(this->isSelfRelay, this->selfIsFirst()) != this->isSelfRelay)
        this->hooks.isPreferredRelay(this->isSelfRelay);
    const std::vector<VmIncarnation> wanted = this->wantedRelays();
    std::erase_if(this->relays, [&wanted](const auto &entry) {
        return std::find(wanted.begin(), wanted.end(), entry.first) == wanted.end();
    });
    for (const VmIncarnation &peer : wanted) {
        const auto [entry, isNew] = this->relays.try_emplace(peer);
        Relay &relay = entry->second;
        if (isNew)
            relay.subscribedSince = this->timers.now();
        // Until the contents arrive the request is repeated at each check.
        if (isNew || !relay.hasContents
            || this->timers.now() - relay.lastSubscribed >= renewalInterval) {
            relay.lastSubscribed = this->timers.now();
            this->hub.send(peer, {FrameKind::RelaySubscribe, 0, 0, {}});
        }
    }
    this->updateContact();
}

bool RelayClient::selfIsFirst() const
{
    return !this->preferences.empty() && this->preferences.front() == this->hub.self();
}

std::vector<VmIncarnation> RelayClient::wantedRelays() const
{
    if (this->servesItself())
        return {};
    std::vector<VmIncarnation> wanted;
    std::size_t limit = usualRelays;
    std::size_t failing = 0;
    for (const VmIncarnation &candidate : this->preferences) {
        if (candidate == this->hub.self() || !this->hub.isConnected(candidate))
            continue;
        wanted.push_back(candidate);
        failing += this->isFailing(candidate) ? 1 : 0;
        if (failing >= usualRelays && failing == wanted.size())
            limit = std::min(failing + 1, this->maximumRelays());
        if (wanted.size() >= limit)
            break;
    }
    return wanted;
}

bool RelayClient::servesItself() const
{
    // A subscription transfers the whole contents; a single call that fails does not warrant one.
    const bool hasLostStore =
            this->storeLostSince && this->timers.now() - *this->storeLostSince > trialTime;
    return this->isSelfRelay && !hasLostStore;
}

std::size_t RelayClient::maximumRelays() const
{
    // The store may reject a third of the VMs; if more relays fail, it is most likely unavailable.
    return std::clamp(this->preferences.size() / 3 + 2, usualRelays + 1, mostRelays);
}

bool RelayClient::isFailing(const VmIncarnation &candidate) const
{
    const auto known = this->relays.find(candidate);
    return known != this->relays.end() && !this->isRecent(known->second)
           && this->timers.now() - known->second.subscribedSince > trialTime;
}

void RelayClient::updateContact()
{
    const RelayContact current = this->currentContact();
    const auto gain = this->contact.storeReachableSince - current.storeReachableSince;
    const bool isNewState =
            current.state != this->contact.state
            || (current.state == RelayState::Served && gain > reachableSinceTolerance);
    if (!isNewState && current.servedPrefixes == this->contact.servedPrefixes)
        return;
    this->contact = current;
    if (isNewState)
        this->logContact();
    this->hooks.contactChanged(current);
}

void RelayClient::logContact() const
{
    const RelayContact &current = this->contact;
    const auto reachableFor = this->timers.now() - current.storeReachableSince;
    LogEvent line(current.state == RelayState::Served ? LogSeverity::Info : LogSeverity::Warning,
                  "relayState");
    line.field("state", static_cast<int>(current.state))
            .field("relays", static_cast<qint64>(this->relays.size()));
    if (current.state == RelayState::Served)
        line.field("storeReachableFor",
                   static_cast<qint64>(std::chrono::floor<milliseconds>(reachableFor).count()));
}

RelayContact RelayClient::currentContact() const
{
    RelayContact current;
    for (const auto &[peer, relay] : this->relays) {
        if (this->isRecent(relay)) {
            const auto since = relay.statusAt - relay.status->reachableFor;
            if (current.state != RelayState::Served || since < current.storeReachableSince)
                current.storeReachableSince = since;
            current.state = RelayState::Served;
            const auto known = this->knownPrefixes.find(peer);
            if (known != this->knownPrefixes.end())
                current.servedPrefixes.insert(known->second.begin(), known->second.end());
        } else if (current.state == RelayState::NotServed && this->isAnswering(relay)) {
            current.state = RelayState::StoreLost;
        }
    }
    return current;
}

bool RelayClient::isAnswering(const Relay &relay) const
{
    return relay.status && this->timers.now() - relay.statusAt <= statusTimeout;
}

bool RelayClient::isRecent(const Relay &relay) const
{
    if (!relay.hasContents || !relay.status || !relay.status->storeReachable)
        return false;
    const auto silence = this->timers.now() - relay.statusAt;
    return silence <= statusTimeout && relay.status->contactAge + silence <= maximumContactAge;
}

} // namespace lacewingmux
