#include "plan/SoakPlan.h"

#include "SoakSettings.h"

#include <algorithm>

namespace lacewingmux::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds firstStep{3000};
constexpr milliseconds calmEnd{6000};       // the last calls end undisturbed
constexpr milliseconds stopInterval{14000}; // a stop takes up to 8 s, and the start a few

} // namespace

SoakPlan::SoakPlan(const SoakSettings &settings)
    : random(settings.seed)
{
    const milliseconds end = milliseconds(settings.duration) - calmEnd;
    this->drawLimits();
    this->drawSilences(end);
    this->drawStops(end, settings.entryVmCount());
    this->drawPauses(end, settings.entryVmCount());
    if (settings.replicasStutter)
        this->drawStutters(end);
    if (settings.linksAreCut)
        this->drawCuts(end, settings.entryVmCount());
    std::stable_sort(
            this->planned.begin(), this->planned.end(),
            [](const PlanStep &left, const PlanStep &right) { return left.at < right.at; });
}

const std::vector<QByteArray> &SoakPlan::services()
{
    static const std::vector<QByteArray> names{"model-a", "model-b", "desk"};
    return names;
}

void SoakPlan::drawLimits()
{
    constexpr int backlogs[]{5, 16, 128};
    for (const QByteArray &service : services()) {
        ReplicaLimits next;
        next.service = service;
        next.backlog = backlogs[this->draw(0, 2)];
        // A few more than the calls that a replica has at a time.
        if (this->draw(1, 4) == 1)
            next.connectionLimit = this->draw(10, 16);
        next.idleTimeout = milliseconds(this->draw(1, 3) == 1 ? 1500 : 10000);
        next.closesAtDeadline = this->draw(0, 1) == 1;
        this->limits.push_back(next);
    }
}

void SoakPlan::drawSilences(milliseconds end)
{
    for (milliseconds at = firstStep; at < end; at += milliseconds(this->draw(2500, 4000))) {
        this->planned.push_back(this->drawSilence(at));
        PlanStep configure;
        configure.kind = StepKind::Configure;
        configure.at = at + milliseconds(this->draw(-300, 1300));
        configure.change = static_cast<Change>(this->draw(0, 2));
        this->planned.push_back(configure);
        if (this->draw(1, 4) > 1)
            continue;
        PlanStep leave;
        leave.kind = StepKind::Leave;
        leave.at = at - milliseconds(this->draw(100, 1500));
        leave.service = services()[static_cast<std::size_t>(this->draw(0, 2))];
        leave.isAnnounced = this->draw(0, 1) == 0;
        this->planned.push_back(leave);
    }
}

PlanStep SoakPlan::drawSilence(milliseconds at)
{
    PlanStep silence;
    silence.kind = StepKind::Silence;
    silence.at = at;
    silence.service = services()[static_cast<std::size_t>(this->draw(0, 5) % 3)];
    silence.allReplicas = this->draw(1, 3) > 1;
    silence.duration =
            milliseconds(this->draw(1, 6) == 1 ? this->draw(2000, 2500) : this->draw(1000, 1300));
    return silence;
}

void SoakPlan::drawStops(milliseconds end, int vmCount)
{
    for (milliseconds at = firstStep + milliseconds(this->draw(0, 5000)); at < end;
         at += stopInterval + milliseconds(this->draw(0, 5000))) {
        PlanStep stop;
        stop.kind = StepKind::StopVm;
        stop.at = at;
        stop.vm = this->draw(0, vmCount - 1);
        this->planned.push_back(stop);
        if (this->draw(1, 3) > 1)
            continue;
        stop.at += milliseconds(this->draw(300, 6000));
        stop.vm = (stop.vm + 1) % vmCount;
        this->planned.push_back(stop);
    }
}

void SoakPlan::drawPauses(milliseconds end, int vmCount)
{
    for (milliseconds at = firstStep + milliseconds(this->draw(0, 12000)); at < end;
         at += milliseconds(this->draw(10000, 18000))) {
        PlanStep pause;
        pause.kind = StepKind::PauseVm;
        pause.at = at;
        pause.vm = this->draw(0, vmCount - 1);
        pause.duration = milliseconds(this->draw(300, 1500));
        this->planned.push_back(pause);
    }
}

void SoakPlan::drawStutters(milliseconds end)
{
    for (ReplicaLimits &limit : this->limits) {
        limit.stutterPercent = this->draw(5, 50);
        for (milliseconds at = firstStep / 2 + milliseconds(this->draw(0, 3000)); at < end;) {
            PlanStep stutter;
            stutter.kind = StepKind::Stutter;
            stutter.at = at;
            stutter.service = limit.service;
            stutter.duration = std::min(milliseconds(this->draw(3000, 9000)), end - at);
            at += stutter.duration + milliseconds(this->draw(1000, 4000));
            this->planned.push_back(stutter);
        }
    }
}

void SoakPlan::drawCuts(milliseconds end, int vmCount)
{
    for (int vm = 0; vm < vmCount; ++vm) {
        for (milliseconds at = firstStep / 2 + milliseconds(this->draw(0, 3000)); at < end;) {
            PlanStep cut;
            cut.kind = StepKind::CutLinks;
            cut.at = at;
            cut.vm = vm;
            cut.service = services()[static_cast<std::size_t>(this->draw(0, 2))];
            cut.allReplicas = this->draw(0, 1) == 0;
            cut.duration = std::min(milliseconds(this->draw(3000, 9000)), end - at);
            at += cut.duration + milliseconds(this->draw(500, 3000));
            this->planned.push_back(cut);
        }
    }
}

int SoakPlan::draw(int least, int most)
{
    return std::uniform_int_distribution<int>(least, most)(this->random);
}

} // namespace lacewingmux::soak
