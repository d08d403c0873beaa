#include "fleet/LoadBalancer.h"

#include "fleet/VmProcess.h"

#include <QNetworkProxy>
#include <QNetworkReply>

#include <algorithm>

namespace lacewingmux::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds checkInterval{1000};
constexpr milliseconds answerLimit{900};
constexpr int missLimit = 2;

} // namespace

LoadBalancer::LoadBalancer(TimerService &timerService, std::uint32_t seed)
    : random(seed)
    , checkTimer(timerService.every(checkInterval, [this] { this->check(); }))
{
    this->network.setProxy(QNetworkProxy::NoProxy);
}

void LoadBalancer::add(const VmProcess &vm)
{
    this->entries.push_back({{vm.name(), vm.address(), VmProcess::ingressPort}, missLimit, false});
}

bool LoadBalancer::areAllReady() const
{
    return std::all_of(this->entries.begin(), this->entries.end(),
                       [](const Entry &entry) { return entry.isReady; });
}

SoakCaller::Target LoadBalancer::choose()
{
    std::vector<const Entry *> candidates;
    for (const Entry &entry : this->entries) {
        if (entry.misses < missLimit)
            candidates.push_back(&entry);
    }
    if (candidates.empty()) {
        for (const Entry &entry : this->entries)
            candidates.push_back(&entry);
    }
    std::uniform_int_distribution<std::size_t> distribution(0, candidates.size() - 1);
    return candidates[distribution(this->random)]->target;
}

void LoadBalancer::check()
{
    for (std::size_t index = 0; index < this->entries.size(); ++index) {
        QUrl url(QStringLiteral("http://%1:%2/v1/ready")
                         .arg(this->entries[index].target.address.toString())
                         .arg(VmProcess::readinessPort));
        QNetworkRequest request(url);
        request.setTransferTimeout(static_cast<int>(answerLimit.count()));
        QNetworkReply *reply = this->network.get(request);
        QObject::connect(reply, &QNetworkReply::finished, reply, [this, index, reply] {
            const int status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
            this->handleAnswer(index, status == 200);
            reply->deleteLater();
        });
    }
}

void LoadBalancer::handleAnswer(std::size_t index, bool isReady)
{
    Entry &entry = this->entries[index];
    entry.isReady = isReady;
    entry.misses = isReady ? 0 : entry.misses + 1;
}

} // namespace lacewingmux::soak
