#include "model/FleetSchedule.h"

#include <algorithm>

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

constexpr int scheduleSteps = 300;
constexpr milliseconds stepTime{60};
constexpr milliseconds catchUpTime{4900}; // after which the loss of a member is over
constexpr milliseconds quotaWindow{5000};
constexpr std::int64_t turnTokens = 100;
constexpr double teamRate = 100;
constexpr double teamBurst = 60;
// What the users' pages allow in a window: a tenth over, and a slack of 20 requests.
constexpr int quotaLimit = static_cast<int>((teamRate * 5 + teamBurst) * 1.1 + 20);

} // namespace

FleetSchedule::FleetSchedule(std::uint64_t seedNumber)
    : random(seedNumber)
    , fleet(3, 3)
    , programs(4)
{
    for (Program &program : this->programs)
        program.budget = 300 + 100 * this->draw(5);
    this->stable = this->fleet.timers.now();
}

std::string FleetSchedule::run()
{
    for (this->steps = 0; this->steps < scheduleSteps && this->violation.empty(); ++this->steps)
        this->step();
    this->fleet.network.healAll();
    if (!this->paused.isEmpty())
        this->fleet.network.resume(this->paused);
    this->fleet.storeServer->setDown(false);
    if (!this->lost.isEmpty())
        this->bringMemberBack();
    this->fleet.run(milliseconds(9000));
    if (this->violation.empty())
        this->checkEverythingIsFound();
    return this->violation;
}

void FleetSchedule::step()
{
    const int choice = this->draw(20);
    if (choice < 8)
        this->startTurn();
    else if (choice < 14)
        this->sendRequests();
    else if (choice < 17)
        this->injectFault();
    else
        this->healSomething();
    this->fleet.run(stepTime);
    this->checkQuota();
}

void FleetSchedule::startTurn()
{
    const std::size_t number =
            static_cast<std::size_t>(this->draw(static_cast<int>(this->programs.size())));
    Program &program = this->programs[number];
    TurnRequest opening;
    opening.program = "p" + QByteArray::number(static_cast<int>(number));
    opening.request = opening.program + "-" + QByteArray::number(program.nextTurn++);
    opening.team = "team";
    opening.budget = program.budget;
    opening.maximumTokens = turnTokens;
    opening.retention = std::chrono::seconds(600);
    QByteArray expected;
    if (!program.kept.empty() && this->draw(4) > 0) {
        const KeptTurn &earlier = this->turns[program.kept[static_cast<std::size_t>(
                this->draw(static_cast<int>(program.kept.size())))]];
        opening.previousTurn = earlier.opening.request;
        expected = earlier.history;
    }
    const auto entry =
            static_cast<std::size_t>(this->draw(static_cast<int>(this->fleet.entries.size())));
    this->fleet.entries[entry].client->open(
            opening, [this, number, opening, expected, entry](const TurnAdmission &start) {
                this->finishTurn(number, opening, expected, start, entry);
            });
}

void FleetSchedule::finishTurn(std::size_t number, const TurnRequest &opening,
                               const QByteArray &expected, const TurnAdmission &start,
                               std::size_t entry)
{
    Program &program = this->programs[number];
    if (start.outcome == TurnOutcome::UnknownTurn)
        this->violate("a kept turn was said not to exist: " + opening.previousTurn.toStdString());
    if (start.outcome != TurnOutcome::Ready) {
        this->fleet.entries[entry].client->settle(opening, 0);
        return;
    }
    if (start.history != expected)
        this->violate("a history is not what was kept: " + opening.previousTurn.toStdString());
    const std::int64_t tokens = std::int64_t{10} * (1 + this->draw(10));
    program.handedOut += tokens;
    if (program.handedOut > program.budget + turnTokens)
        this->violate("a program passed its budget: " + opening.program.toStdString());
    if (this->draw(5) == 0)
        return; // the entry VM dies: nobody settles the reservation
    if (this->draw(4) == 0) {
        this->fleet.entries[entry].client->settle(opening, tokens);
        return;
    }
    const QByteArray input = "in-" + opening.request;
    const QByteArray output = "out-" + opening.request + "\n";
    this->fleet.entries[entry].client->store(
            opening, input, output, tokens, [=, this](bool durable) {
                if (!durable)
                    return;
                this->turns.push_back({opening, expected + input + output});
                if (this->draw(6) == 0)
                    this->fleet.timers.post([this] { this->loseMember(); });
                this->programs[number].kept.push_back(this->turns.size() - 1);
            });
}

void FleetSchedule::sendRequests()
{
    GatewayTeam team;
    team.name = "team";
    team.requestsPerSecond = teamRate;
    team.burst = teamBurst;
    const auto entry =
            static_cast<std::size_t>(this->draw(static_cast<int>(this->fleet.entries.size())));
    const int count = 5 + this->draw(40);
    for (int request = 0; request < count; ++request)
        this->fleet.entries[entry].quota->take({team, 0}, [this](const QuotaDecision &answer) {
            if (!answer.admitted)
                return;
            this->admitted.emplace_back(this->fleet.timers.now(), 1);
            ++this->admittedInWindow;
        });
}

void FleetSchedule::injectFault()
{
    switch (this->draw(5)) {
    case 0:
        this->loseMember();
        break;
    case 1:
        this->fleet.storeServer->setDown(true);
        break;
    case 2: {
        // A cut between members is the loss of one of them, so nothing else is lost meanwhile.
        if (!this->lost.isEmpty() || this->fleet.timers.now() - this->stable < catchUpTime)
            break;
        this->stable = this->fleet.timers.now();
        const QString member = QStringLiteral("r%1").arg(1 + this->draw(3));
        for (const auto &[name, vm] : this->fleet.records) {
            if (name != member)
                this->fleet.network.cut(member, name);
        }
        break;
    }
    case 3:
        this->fleet.network.cut(QStringLiteral("e%1").arg(1 + this->draw(3)),
                                QStringLiteral("r%1").arg(1 + this->draw(3)));
        break;
    case 4:
        if (!this->paused.isEmpty() || !this->lost.isEmpty()
            || this->fleet.timers.now() - this->stable < catchUpTime)
            break;
        this->stable = this->fleet.timers.now();
        this->paused = QStringLiteral("r%1").arg(1 + this->draw(3));
        this->fleet.network.pause(this->paused);
        break;
    }
}

void FleetSchedule::loseMember()
{
    if (!this->lost.isEmpty() || !this->paused.isEmpty()
        || this->fleet.timers.now() - this->stable < catchUpTime)
        return;
    this->lost = QStringLiteral("r%1").arg(1 + this->draw(3));
    this->fleet.stopRecords(this->lost, static_cast<std::size_t>(this->draw(4)));
    if (this->draw(2) == 0)
        this->fleet.wipe(this->lost);
    if (this->draw(2) == 0)
        this->bringMemberBack();
}

void FleetSchedule::bringMemberBack()
{
    this->fleet.startRecords(this->lost);
    this->lost.clear();
    this->stable = this->fleet.timers.now();
}

void FleetSchedule::healSomething()
{
    switch (this->draw(4)) {
    case 0:
        if (!this->lost.isEmpty())
            this->bringMemberBack();
        break;
    case 1:
        this->fleet.storeServer->setDown(false);
        break;
    case 2:
        this->fleet.network.healAll();
        if (this->lost.isEmpty() && this->paused.isEmpty())
            this->stable = std::max(this->stable, this->fleet.timers.now());
        break;
    case 3:
        if (this->paused.isEmpty())
            break;
        this->fleet.network.resume(this->paused);
        this->paused.clear();
        this->stable = this->fleet.timers.now();
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
        this->violate("the team was admitted " + std::to_string(this->admittedInWindow)
                      + " requests in a window");
}

void FleetSchedule::checkEverythingIsFound()
{
    for (const KeptTurn &kept : this->turns) {
        TurnRequest next = kept.opening;
        next.request += "-next";
        next.previousTurn = kept.opening.request;
        next.budget = std::nullopt;
        std::optional<TurnAdmission> start;
        this->fleet.entries[0].client->open(
                next, [&start](const TurnAdmission &result) { start = result; });
        this->fleet.run(milliseconds(40));
        if (!start)
            this->fleet.run(milliseconds(1000));
        if (!start || start->outcome != TurnOutcome::Ready || start->history != kept.history) {
            this->violate("a kept turn is not found at the end: "
                          + kept.opening.request.toStdString());
            return;
        }
    }
}

void FleetSchedule::violate(const std::string &what)
{
    if (this->violation.empty())
        this->violation = what + " at step " + std::to_string(this->steps);
}

int FleetSchedule::draw(int below)
{
    return std::uniform_int_distribution<int>(0, below - 1)(this->random);
}

} // namespace lacewingmux
