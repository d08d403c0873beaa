#include "simulation/FleetSchedule.h"

#include <algorithm>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr int scheduleSteps = 300;
constexpr milliseconds stepTime{60};
constexpr milliseconds recoveryTime{4900}; // after it, the loss of a member is repaired
constexpr milliseconds quotaWindow{5000};
constexpr std::int64_t turnTokens = 100;
constexpr milliseconds callTime{5000};
constexpr milliseconds lateTime{1500};
constexpr int shortestSilence = 500; // milliseconds
constexpr int longestSilence = 3000;
constexpr int longestRun = 1500; // of a turn, between its opening and its end
constexpr double teamRate = 100;
constexpr double teamBurst = 60;
// The documented limit in a window: 10 % above the quota plus 20 requests.
constexpr int quotaLimit = static_cast<int>((teamRate * 5 + teamBurst) * 1.1 + 20);

} // namespace

FleetSchedule::FleetSchedule(std::uint64_t seedNumber, int recordsVmCount)
    : random(seedNumber)
    , fleet(recordsVmCount, 3)
    , programs(4)
{
    for (int number = 1; number <= recordsVmCount; ++number)
        this->members.push_back(QStringLiteral("r%1").arg(number));
    for (Program &program : this->programs)
        program.budget = 300 + 100 * this->randomBelow(5);
    this->stableSince = this->fleet.timers.now();
}

std::string FleetSchedule::run()
{
    for (this->steps = 0; this->steps < scheduleSteps && this->violation.empty(); ++this->steps)
        this->step();
    this->fleet.network.healAll();
    if (!this->pausedMember.isEmpty())
        this->fleet.network.resume(this->pausedMember);
    this->fleet.storeServer->setDown(false);
    if (!this->lostMember.isEmpty())
        this->restartLostMember();
    this->fleet.run(milliseconds(9000));
    if (this->violation.empty())
        this->checkStoredTurnsAreFound();
    return this->violation;
}

void FleetSchedule::step()
{
    const int choice = this->randomBelow(20);
    if (choice < 8)
        this->startTurn();
    else if (choice < 14)
        this->sendRequests();
    else if (choice < 17)
        this->injectFault();
    else
        this->healRandomFault();
    if (this->hasSilences && this->randomBelow(12) == 0)
        this->silenceForAMoment();
    this->fleet.run(stepTime);
    this->checkQuota();
}

void FleetSchedule::startTurn()
{
    const std::size_t number =
            static_cast<std::size_t>(this->randomBelow(static_cast<int>(this->programs.size())));
    Program &program = this->programs[number];
    TurnRequest turnRequest;
    turnRequest.program = "p" + QByteArray::number(static_cast<int>(number));
    turnRequest.request = turnRequest.program + "-" + QByteArray::number(program.nextTurn++);
    turnRequest.team = "team";
    turnRequest.budget = program.budget;
    turnRequest.maximumTokens = turnTokens;
    turnRequest.retention = std::chrono::seconds(600);
    turnRequest.deadline = this->fleet.timers.now() + callTime;
    QByteArray expected;
    // Some programs continue a turn of another one, which may belong to another group.
    const Program &origin = this->randomBelow(6) == 0 ? this->programs[static_cast<std::size_t>(
                                    this->randomBelow(static_cast<int>(this->programs.size())))]
                                                      : program;
    if (!origin.storedTurns.empty() && this->randomBelow(4) > 0) {
        const StoredTurn &earlier = this->turns[origin.storedTurns[static_cast<std::size_t>(
                this->randomBelow(static_cast<int>(origin.storedTurns.size())))]];
        turnRequest.previousTurn = earlier.turnRequest.request;
        expected = earlier.history;
    }
    const auto entry = static_cast<std::size_t>(
            this->randomBelow(static_cast<int>(this->fleet.entryVms.size())));
    this->fleet.entryVms[entry].client->open(turnRequest, [this, number, turnRequest, expected,
                                                           entry](const TurnAdmission &admission) {
        this->finishTurn(number, turnRequest, expected, admission, entry);
    });
}

void FleetSchedule::finishTurn(std::size_t number, TurnRequest turnRequest,
                               const QByteArray &expected, const TurnAdmission &admission,
                               std::size_t entry)
{
    turnRequest.historyLocation = admission.historyLocation;
    Program &program = this->programs[number];
    if (admission.outcome == TurnOutcome::UnknownTurn)
        this->reportViolation("a stored turn was reported as unknown: "
                              + turnRequest.previousTurn.toStdString());
    if (admission.outcome != TurnOutcome::Ready) {
        this->fleet.entryVms[entry].client->settle(turnRequest, 0);
        return;
    }
    if (admission.history != expected)
        this->reportViolation("a history differs from the stored one: "
                              + turnRequest.previousTurn.toStdString());
    const std::int64_t tokens = std::int64_t{10} * (1 + this->randomBelow(10));
    program.usedTokens += tokens;
    if (program.usedTokens > program.budget + turnTokens)
        this->reportViolation("a program exceeded its budget: "
                              + turnRequest.program.toStdString());
    if (this->randomBelow(5) == 0)
        return; // the entry VM crashes, so the reservation is never settled
    if (this->randomBelow(4) == 0) {
        this->fleet.entryVms[entry].client->settle(turnRequest, tokens);
        return;
    }
    if (!this->hasSilences) {
        this->storeTurn(number, turnRequest, expected, tokens, entry);
        return;
    }
    this->runningTurns.push_back(
            this->fleet.timers.after(milliseconds(this->randomBelow(longestRun)), [=, this] {
                this->storeTurn(number, turnRequest, expected, tokens, entry);
            }));
}

void FleetSchedule::storeTurn(std::size_t number, const TurnRequest &turnRequest,
                              const QByteArray &expected, std::int64_t tokens, std::size_t entry)
{
    const QByteArray input = "in-" + turnRequest.request;
    const QByteArray output = "out-" + turnRequest.request + "\n";
    this->fleet.entryVms[entry].client->store(
            turnRequest, input, output, tokens,
            [=, this, ended = this->fleet.timers.now()](bool durable) {
                if (!durable)
                    return;
                this->lateTurnCount += this->fleet.timers.now() - ended > lateTime ? 1 : 0;
                this->turns.push_back({turnRequest, expected + input + output});
                if (this->randomBelow(6) == 0)
                    this->fleet.timers.post([this] { this->stopRandomMember(); });
                this->programs[number].storedTurns.push_back(this->turns.size() - 1);
            });
}

void FleetSchedule::sendRequests()
{
    GatewayTeam team;
    team.name = "team";
    team.requestsPerSecond = teamRate;
    team.burst = teamBurst;
    const auto entry = static_cast<std::size_t>(
            this->randomBelow(static_cast<int>(this->fleet.entryVms.size())));
    const int count = 5 + this->randomBelow(40);
    for (int request = 0; request < count; ++request)
        this->fleet.entryVms[entry].quota->take({team, 0}, [this](const QuotaDecision &answer) {
            if (!answer.admitted)
                return;
            this->admitted.emplace_back(this->fleet.timers.now(), 1);
            ++this->admittedInWindow;
        });
}

void FleetSchedule::injectFault()
{
    switch (this->randomBelow(5)) {
    case 0:
        this->stopRandomMember();
        break;
    case 1:
        this->fleet.storeServer->setDown(true);
        break;
    case 2: {
        // A partition between members counts as the loss of one, so no other is lost meanwhile.
        if (!this->lostMember.isEmpty()
            || this->fleet.timers.now() - this->stableSince < recoveryTime)
            break;
        this->stableSince = this->fleet.timers.now();
        const QString member = this->randomMember();
        for (const auto &[name, vm] : this->fleet.recordsVms) {
            if (name != member)
                this->fleet.network.cut(member, name);
        }
        break;
    }
    case 3:
        this->fleet.network.cut(QStringLiteral("e%1").arg(1 + this->randomBelow(3)),
                                this->randomMember());
        break;
    case 4:
        if (!this->pausedMember.isEmpty() || !this->lostMember.isEmpty()
            || this->fleet.timers.now() - this->stableSince < recoveryTime)
            break;
        this->stableSince = this->fleet.timers.now();
        this->pausedMember = this->randomMember();
        this->fleet.network.pause(this->pausedMember);
        break;
    }
}

void FleetSchedule::silenceForAMoment()
{
    const QString member = this->randomMember();
    if (member == this->pausedMember)
        return;
    this->fleet.network.pause(member);
    const milliseconds silence(shortestSilence
                               + this->randomBelow(longestSilence - shortestSilence));
    this->silences[member] = this->fleet.timers.after(
            silence, [this, member] { this->fleet.network.resume(member); });
}

void FleetSchedule::stopRandomMember()
{
    if (!this->lostMember.isEmpty() || !this->pausedMember.isEmpty()
        || this->fleet.timers.now() - this->stableSince < recoveryTime)
        return;
    this->lostMember = this->randomMember();
    this->fleet.stopRecordsVm(this->lostMember, static_cast<std::size_t>(this->randomBelow(4)));
    if (this->randomBelow(2) == 0)
        this->fleet.wipe(this->lostMember);
    if (this->randomBelow(2) == 0)
        this->restartLostMember();
}

void FleetSchedule::replaceLostMember()
{
    const QString successor = this->lostMember + u'n';
    std::replace(this->members.begin(), this->members.end(), this->lostMember, successor);
    this->lostMember = successor;
}

void FleetSchedule::restartLostMember()
{
    if (this->hasReplacements && this->randomBelow(2) == 0)
        this->replaceLostMember();
    this->fleet.startRecordsVm(this->lostMember);
    this->lostMember.clear();
    this->stableSince = this->fleet.timers.now();
}

void FleetSchedule::healRandomFault()
{
    switch (this->randomBelow(4)) {
    case 0:
        if (!this->lostMember.isEmpty())
            this->restartLostMember();
        break;
    case 1:
        this->fleet.storeServer->setDown(false);
        break;
    case 2:
        this->fleet.network.healAll();
        if (this->lostMember.isEmpty() && this->pausedMember.isEmpty())
            this->stableSince = std::max(this->stableSince, this->fleet.timers.now());
        break;
    case 3:
        if (this->pausedMember.isEmpty())
            break;
        this->fleet.network.resume(this->pausedMember);
        this->pausedMember.clear();
        this->stableSince = this->fleet.timers.now();
        break;
    }
}

void FleetSchedule::checkQuota()
{
    const TimerService::SteadyTime now = this->fleet.timers.now();
    while (!this->admitted.empty() && now - this->admitted.front().first > quotaWindow) {
        this->admitted.pop_front();
        --this->admittedInWindow;
    }
    if (this->admittedInWindow > quotaLimit)
        this->reportViolation("the team was admitted " + std::to_string(this->admittedInWindow)
                              + " requests in a window");
}

void FleetSchedule::checkStoredTurnsAreFound()
{
    for (const StoredTurn &storedTurn : this->turns) {
        TurnRequest next = storedTurn.turnRequest;
        next.request += "-next";
        next.previousTurn = storedTurn.turnRequest.request;
        next.budget = std::nullopt;
        next.deadline = this->fleet.timers.now() + callTime;
        std::optional<TurnAdmission> admission;
        this->fleet.entryVms[0].client->open(
                next, [&admission](const TurnAdmission &result) { admission = result; });
        this->fleet.run(milliseconds(40));
        if (!admission)
            this->fleet.run(milliseconds(1000));
        if (!admission || admission->outcome != TurnOutcome::Ready
            || admission->history != storedTurn.history) {
            this->reportViolation(
                    "a stored turn is not found at the end: "
                    + storedTurn.turnRequest.request.toStdString() + ", outcome "
                    + (admission ? std::to_string(static_cast<int>(admission->outcome)) : "none")
                    + (admission && admission->history == storedTurn.history ? ", same history"
                                                                             : ", other history"));
            return;
        }
    }
}

void FleetSchedule::reportViolation(const std::string &what)
{
    if (this->violation.empty())
        this->violation = what + " at step " + std::to_string(this->steps);
}

QString FleetSchedule::randomMember()
{
    const int count = static_cast<int>(this->members.size());
    return this->members[static_cast<std::size_t>(this->randomBelow(count))];
}

int FleetSchedule::randomBelow(int below)
{
    return std::uniform_int_distribution<int>(0, below - 1)(this->random);
}

} // namespace lacewingmux
