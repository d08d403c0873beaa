#include "Fleet.h"

#include "Record.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds heartbeat{1200};

std::string addressFor(int number)
{
    const int process = static_cast<int>(::getpid());
    return "127." + std::to_string(1 + (process / 256) % 250) + "." + std::to_string(process % 256)
           + "." + std::to_string(number);
}

} // namespace

Vm::Vm(bool isFront, int vmNumber, std::string zoneName, std::string folderPath,
       std::uint16_t store)
    : front(isFront)
    , name((isFront ? "front-" : "store-") + zoneName + "-" + std::to_string(vmNumber))
    , zone(std::move(zoneName))
    , address(addressFor(vmNumber + (isFront ? 1 : 101)))
    , folder(std::move(folderPath))
    , storePort(store)
{ }

std::string Vm::path(const char *suffix) const
{
    return this->folder + "/" + this->name + suffix;
}

void Vm::writeSettings(bool bootstrap) const
{
    const QString ip = QString::fromStdString(this->address);
    QJsonObject listen;
    if (this->front)
        listen = {{"front", ip + ":" + QString::number(ingressPort)},
                  {"readiness", ip + ":" + QString::number(readinessPort)}};
    const QJsonObject limits =
            this->front ? QJsonObject{{"cpuShare", 0.25}, {"cores", 1},       {"memoryMb", 110},
                                      {"maxFds", 4100},   {"linkMbps", 1000}, {"diskMb", 0}}
                        : QJsonObject{{"cpuShare", 0.5}, {"cores", 1},      {"memoryMb", 130},
                                      {"maxFds", 8200},  {"linkMbps", 600}, {"diskMb", 380}};
    QJsonObject settings{
            {"nodeName", QString::fromStdString(this->name)},
            {"role", this->front ? "front" : "records"},
            {"machineClass", this->front ? "front" : "store"},
            {"serves", QJsonArray{this->front ? "front" : "store"}},
            {"ip", ip},
            {"zone", QString::fromStdString(this->zone)},
            {"region", "co-centro"},
            {"zones", QJsonObject{{"a", "co-centro"}, {"b", "co-centro"}, {"c", "co-centro"}}},
            {"listen", listen},
            {"internalPortRange", QJsonArray{7780, 7795}},
            {"seeds", QJsonArray()},
            {"bootstrap", bootstrap && !this->wasStarted},
            {"inFaultBudget", !this->front},
            {"limits", limits},
            {"dataDir",
             this->front ? QJsonValue() : QJsonValue(QString::fromStdString(this->path(".data")))},
            {"discovery", "platform"},
            {"entry", "vip"},
            {"heartbeatMs", static_cast<int>(heartbeat.count())},
            {"contracts", QJsonArray{"base", "drain", "config", "cost", "recover", "agent",
                                     "stream", "engine", "tenants", "quota", "platform"}},
            {"faultTolerance", QJsonObject{{"machines", 1}, {"zones", 1}, {"regions", 0}}},
            {"bounds", QJsonObject{{"contactMs", 3000},
                                   {"drainMs", 2000},
                                   {"graceS", 8},
                                   {"configApplyMs", 2000},
                                   {"recoverS", 12},
                                   {"catchUpS", 4.4}}},
            {"provider", QJsonObject{{"address", "127.0.0.1:" + QString::number(this->storePort)},
                                     {"form", "kv"},
                                     {"writesPerS", 400},
                                     {"readsPerS", 2000},
                                     {"historyS", 20},
                                     {"valueBytes", 1048576},
                                     {"ttlMinMs", 1000}}}};
    std::ofstream file(this->path(".json"));
    file << QJsonDocument(settings).toJson().toStdString();
    if (!this->front)
        std::filesystem::create_directories(this->path(".data"));
}

void Vm::start(bool bootstrap)
{
    this->writeSettings(bootstrap);
    this->wasStarted = true;
    const std::string boot = "LACEWINGMUX_BOOT=" + this->path(".json");
    const std::string pathVariable = std::string("PATH=") + ::getenv("PATH");
    const std::string home = std::string("HOME=") + this->folder;
    const std::string log = this->path(".log");
    const std::string role = this->front ? "--platform-role=front" : "--platform-role=records";
    this->process = ::fork();
    if (this->process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, 1);
        ::dup2(output, 2);
        char program[] = "target/bin/lacewingmuxd";
        char *arguments[] = {program, const_cast<char *>(role.c_str()), nullptr};
        char lang[] = "LANG=C.UTF-8";
        char *environment[] = {const_cast<char *>(boot.c_str()),
                               const_cast<char *>(pathVariable.c_str()),
                               const_cast<char *>(home.c_str()), lang, nullptr};
        ::execve(program, arguments, environment);
        ::_exit(127);
    }
    Record::write("%s starts", this->name.c_str());
}

void Vm::signal(int number) const
{
    Record::write("%s gets signal %s", this->name.c_str(), ::strsignal(number));
    if (this->process > 0)
        ::kill(this->process, number);
}

bool Vm::waitForEnd(milliseconds time)
{
    const auto limit = Clock::now() + time;
    while (this->process > 0) {
        if (::waitpid(this->process, nullptr, WNOHANG) == this->process)
            this->process = 0;
        else if (Clock::now() >= limit)
            return false;
        else
            std::this_thread::sleep_for(milliseconds(10));
    }
    Record::write("%s has ended", this->name.c_str());
    return true;
}

void Vm::kill()
{
    this->signal(SIGKILL);
    this->waitForEnd(milliseconds(5000));
}

void Vm::wipeDisk() const
{
    Record::write("%s loses its disk", this->name.c_str());
    std::filesystem::remove_all(this->path(".data"));
}

bool Vm::hasEnded()
{
    if (this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) == this->process) {
        this->process = 0;
        return true;
    }
    return false;
}

bool Vm::isReadyNow() const
{
    return call(this->address, readinessPort, "GET", "/v1/ready",
                {{"Host", this->address}, {"Connection", "close"}}, {}, milliseconds(900))
                   .status
           == 200;
}

Fleet::Fleet(const std::vector<std::string> &frontZones, const std::string &configuration)
{
    char name[] = "/tmp/review-XXXXXX";
    if (::mkdtemp(name) == nullptr)
        throw std::runtime_error("no temporary folder");
    this->folder = name;
    this->store.put("op/config", configuration);
    int number = 0;
    for (const std::string &zone : frontZones)
        this->fronts.push_back(
                std::make_unique<Vm>(true, number++, zone, this->folder, this->store.port));
    number = 0;
    for (const char *zone : {"a", "b", "c"})
        this->records.push_back(
                std::make_unique<Vm>(false, number++, zone, this->folder, this->store.port));
}

Fleet::~Fleet()
{
    this->ending = true;
    for (std::thread &thread : this->threads)
        thread.join();
    for (const auto *vms : {&this->fronts, &this->records}) {
        for (const auto &vm : *vms)
            vm->kill();
    }
    if (::getenv("KEEP") != nullptr)
        Record::write("logs are in %s", this->folder.c_str());
    else
        std::filesystem::remove_all(this->folder);
}

Replica &Fleet::addReplica(const std::string &id, const std::string &service,
                           const std::string &zone, const Replica::Planner &planner)
{
    this->replicas.push_back(new Replica(id, service, zone, planner));
    return *this->replicas.back();
}

void Fleet::start()
{
    this->threads.emplace_back([this] { this->checkIn(); });
    for (const auto &vm : this->records)
        vm->start();
    for (const auto &vm : this->fronts)
        vm->start();
    this->threads.emplace_back([this] { this->checkReadiness(); });
    const auto limit = Clock::now() + std::chrono::seconds(15);
    for (const auto &vm : this->fronts) {
        while (!vm->inRotation) {
            if (Clock::now() > limit || vm->hasEnded())
                throw std::runtime_error(vm->name + " is not ready");
            std::this_thread::sleep_for(milliseconds(50));
        }
    }
    Record::write("all entry VMs are ready");
}

Vm &Fleet::addRecordsVm(const std::string &zone)
{
    const int number = static_cast<int>(this->records.size());
    this->records.push_back(
            std::make_unique<Vm>(false, number, zone, this->folder, this->store.port));
    this->records.back()->start(false);
    return *this->records.back();
}

void Fleet::checkIn()
{
    struct Known
    {
        std::string id;
        Clock::time_point lastSeen;
    };
    std::vector<Known> known;
    auto next = Clock::now();
    std::vector<std::string> lastIds;
    while (!this->ending) {
        const auto now = Clock::now();
        const bool due = now >= next;
        if (due)
            next += heartbeat;
        lastIds.resize(this->replicas.size());
        for (std::size_t index = 0; index < this->replicas.size(); ++index) {
            Replica &replica = *this->replicas[index];
            if (!replica.isRunning())
                continue;
            const std::string id = replica.currentId();
            if (!due && lastIds[index] == id)
                continue;
            lastIds[index] = id;
            this->store.put("servers/" + id, replica.entry());
            const auto found = std::find_if(known.begin(), known.end(),
                                            [&id](const Known &entry) { return entry.id == id; });
            if (found == known.end())
                known.push_back({id, now});
            else
                found->lastSeen = now;
        }
        std::erase_if(known, [this, now](const Known &entry) {
            if (now - entry.lastSeen < 3 * heartbeat)
                return false;
            this->store.remove("servers/" + entry.id);
            return true;
        });
        std::this_thread::sleep_for(milliseconds(50));
    }
}

void Fleet::checkReadiness()
{
    std::vector<int> misses(this->fronts.size(), 2);
    while (!this->ending) {
        const auto next = Clock::now() + std::chrono::seconds(1);
        for (std::size_t index = 0; index < this->fronts.size(); ++index) {
            misses[index] = this->fronts[index]->isReadyNow() ? 0 : misses[index] + 1;
            this->fronts[index]->inRotation = misses[index] < 2;
        }
        while (Clock::now() < next && !this->ending)
            std::this_thread::sleep_for(milliseconds(20));
    }
}

Vm *Fleet::frontOf(const std::string &zone, const Vm *except)
{
    Vm *other = nullptr;
    for (const auto &vm : this->fronts) {
        if (!vm->inRotation || vm.get() == except)
            continue;
        if (vm->zone == zone)
            return vm.get();
        other = vm.get();
    }
    return other;
}

bool hasTrouble()
{
    const char *value = ::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

int resultOf(const char *recordFile, const std::function<bool()> &ruleIsKept);

void runCase(int argc, char **argv, const std::function<bool()> &ruleIsKept)
{
    int code = 2;
    if (argc > 1)
        code = resultOf(argv[1], ruleIsKept);
    ::_exit(code); // threads of the stand-ins still run
}

int resultOf(const char *recordFile, const std::function<bool()> &ruleIsKept)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record::open(recordFile);
    Record::write("trouble: %s", hasTrouble() ? "yes" : "no");
    try {
        const bool kept = ruleIsKept();
        Record::write("%s", kept ? "HELD" : "BROKEN");
        return kept ? 0 : 1;
    } catch (const std::exception &error) {
        Record::write("could not run: %s", error.what());
        return 2;
    }
}

void sleepUntil(Clock::time_point time)
{
    std::this_thread::sleep_until(time);
}

void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

std::string newRequestId()
{
    static std::mt19937_64 random{std::random_device{}()};
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

} // namespace review
