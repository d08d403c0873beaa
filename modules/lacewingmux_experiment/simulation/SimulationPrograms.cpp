#include "lacewingmux_experiment/simulation/Simulation.h"
#include "lacewingmux_experiment/workload/ProgramGenerator.h"

#include <algorithm>

namespace lacewingmux::experiment {

namespace {

constexpr int patience = 5; ///< failed calls after which a caller gives a program up
constexpr std::chrono::milliseconds shortestPause{1};

} // namespace

void Simulation::startProgram(const ProgramPlan &plan, ProgramRun *parent)
{
    ProgramRun &program = this->programs.emplace_back();
    program.plan = &plan;
    program.parent = parent;
    program.root = parent ? parent->root : &program;
    program.number = static_cast<ProgramNumber>(this->programs.size() - 1);
    program.startedAt = this->events.now();
    this->issueCall(program);
}

void Simulation::issueCall(ProgramRun &program)
{
    const ProgramPlan &root = *program.root->plan;
    ++this->result.calls;
    if (this->workload.teams[root.teamIndex].name != this->workload.surgeTeam)
        ++this->result.callsWithinRate;
    program.lastCall = this->makeCall(program);
    this->ownerOf(program).submit(program.lastCall);
}

VmCall Simulation::makeCall(ProgramRun &program)
{
    const ProgramPlan &root = *program.root->plan;
    const TeamSpec &team = this->workload.teams[root.teamIndex];
    const TurnPlan &turn = program.plan->turns[program.turn];
    VmCall call;
    call.pool = root.poolIndex;
    call.program = program.number;
    call.programName = QString::number(program.number);
    call.contentDigest = QByteArray::number(program.number) + '/'
                         + QByteArray::number(static_cast<qulonglong>(program.turn));
    call.historyTokens = program.historyTokens;
    call.newTokens = turn.newTokens;
    call.outputTokens = turn.outputTokens;
    call.poisoned = program.plan->poisoned && program.turn == 0;
    call.item.team = team.name;
    call.item.teamWeight = team.weight;
    call.item.rootProgram = QString::number(program.root->number);
    call.item.attainedTokens = program.root->attainedTokens;
    call.item.expectedTokens = turn.newTokens + 200;
    call.ended = [this, &program](CallOutcome outcome, std::chrono::milliseconds retryAfter) {
        this->callEnded(program, outcome, retryAfter);
    };
    return call;
}

void Simulation::callEnded(ProgramRun &program, CallOutcome outcome,
                           std::chrono::milliseconds retryAfter)
{
    if (outcome == CallOutcome::Finished) {
        this->callFinished(program);
        return;
    }
    const ProgramPlan &root = *program.root->plan;
    const bool withinRate = this->workload.teams[root.teamIndex].name != this->workload.surgeTeam;
    if (outcome == CallOutcome::Refused && withinRate)
        ++this->result.refusalsWithinRate;
    if (outcome == CallOutcome::Failed)
        ++this->result.failures;
    if (outcome == CallOutcome::Quarantined
        || (outcome == CallOutcome::Failed && ++program.failures >= patience)) {
        this->endProgram(program, false);
        return;
    }
    this->events.after(std::max(retryAfter, shortestPause),
                       [this, &program] { this->issueCall(program); });
}

void Simulation::callFinished(ProgramRun &program)
{
    const TurnPlan &turn = program.plan->turns[program.turn];
    program.root->attainedTokens += turn.newTokens + turn.outputTokens;
    program.historyTokens += turn.newTokens + turn.outputTokens;
    if (++program.turn == program.plan->turns.size()) {
        this->endProgram(program, true);
        return;
    }
    program.pausing = true;
    program.pausedAt = this->events.now();
    program.helpersRunning = static_cast<int>(turn.helpers.size());
    this->ownerOf(program).programPaused(program.lastCall, program.historyTokens);
    for (const ProgramPlan &helper : turn.helpers)
        this->startProgram(helper, &program);
    this->events.after(std::max<std::chrono::microseconds>(turn.pauseAfter, shortestPause),
                       [this, &program] {
                           program.pausing = false;
                           this->resumeWhenReady(program);
                       });
}

void Simulation::resumeWhenReady(ProgramRun &program)
{
    if (program.pausing || program.helpersRunning > 0 || program.ended)
        return;
    const auto pause = std::chrono::duration_cast<std::chrono::microseconds>(this->events.now()
                                                                             - program.pausedAt);
    this->ownerOf(program).programResumed(program.lastCall, pause);
    this->issueCall(program);
}

void Simulation::endProgram(ProgramRun &program, bool completed)
{
    program.ended = true;
    this->ownerOf(program).programEnded(program.lastCall);
    if (program.parent) {
        --program.parent->helpersRunning;
        this->resumeWhenReady(*program.parent);
        return;
    }
    ++this->rootsEnded;
    const ProgramPlan &plan = *program.plan;
    const auto makespan = std::chrono::duration_cast<std::chrono::microseconds>(
            this->events.now() - program.startedAt);
    this->result.programs.push_back(
            {plan.classIndex, plan.teamIndex, completed, plan.poisoned, makespan,
             latencyAlone(plan, this->workload.pools[plan.poolIndex]), pausesOf(plan)});
}

SimulatedVm &Simulation::ownerOf(const ProgramRun &program)
{
    return *this->vms[program.root->plan->vmIndex];
}

} // namespace lacewingmux::experiment
