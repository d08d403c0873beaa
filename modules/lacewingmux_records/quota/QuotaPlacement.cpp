#include "lacewingmux_records/quota/QuotaPlacement.h"

#include "lacewingmux_core/hashing/StableHash.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace lacewingmux {

namespace {

// Requests; a new program must leave up to three quarters of the burst, so a part of a smaller
// burst admits only one or two at a time.
constexpr double minimumPartBurst = 8;
// Requests per second; keeps the grant messages of one part below a tenth of a small VM's core.
constexpr double maximumPartRate = 1000;

} // namespace

QuotaPlacement::QuotaPlacement(const RecordsView &view)
{
    for (const RecordsMember &member : view.members) {
        if (member.state == MemberState::Synced)
            this->holders.push_back(member.vm.incarnation);
    }
}

int QuotaPlacement::parts(double requestsPerSecond, double burst)
{
    const double byBurst =
            std::clamp(std::floor(burst / minimumPartBurst), 1.0, static_cast<double>(usualParts));
    return static_cast<int>(std::max(byBurst, std::ceil(requestsPerSecond / maximumPartRate)));
}

const std::vector<VmIncarnation> &QuotaPlacement::ranking(const QByteArray &team) const
{
    auto known = this->rankings.find(team);
    if (known == this->rankings.end())
        known = this->rankings.insert(team, this->rank(team));
    return *known;
}

std::vector<VmIncarnation> QuotaPlacement::rank(const QByteArray &team) const
{
    struct Candidate
    {
        std::uint64_t hash = 0;
        int earlierInZone = 0; ///< number of candidates of the same zone with a larger hash
        VmIncarnation member;
    };
    std::vector<Candidate> candidates;
    const std::uint64_t teamHash = stableHash(team);
    for (const VmIncarnation &member : this->holders) {
        const QByteArray disk = QByteArray::number(static_cast<quint64>(member.incarnation));
        candidates.push_back({combineHashes(teamHash, stableHash(disk)), 0, member});
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const auto &left, const auto &right) { return left.hash > right.hash; });
    std::map<QString, int> seenInZone;
    for (Candidate &candidate : candidates)
        candidate.earlierInZone = seenInZone[candidate.member.zone]++;
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto &left, const auto &right) {
        return left.earlierInZone < right.earlierInZone;
    });
    std::vector<VmIncarnation> ranked;
    ranked.reserve(candidates.size());
    for (Candidate &candidate : candidates)
        ranked.push_back(std::move(candidate.member));
    return ranked;
}

} // namespace lacewingmux
