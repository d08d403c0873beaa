#include "Deployment.h"

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <thread>

#include <unistd.h>

namespace review {

namespace {

const std::vector<std::string> zones{"za", "zb", "zc"};

std::string route(const std::string &name, const std::string &type, const std::string &service,
                  int timeoutMs, const std::string &more)
{
    return "{\"name\":\"" + name + "\",\"host\":\"review.example\",\"prefix\":\"/" + name
           + "/\",\"type\":\"" + type + "\",\"service\":\"" + service
           + "\",\"timeoutMs\":" + std::to_string(timeoutMs)
           + ",\"targetLatencyMs\":250,\"priority\":1,\"attempts\":2,\"public\":true" + more + "}";
}

std::string configuration()
{
    return "{\"version\":7,\"routes\":["
           + route("turn", "stream", "model", 5000,
                   ",\"retain\":true,\"retentionS\":60.0,\"sticky\":true,\"resumable\":false,"
                   "\"gapAimMs\":300")
           + ","
           + route("stream", "stream", "model", 5000,
                   ",\"sticky\":true,\"resumable\":false,\"gapAimMs\":300")
           + "," + route("safe", "safe", "desk", 1200, "") + ","
           + route("unsafe", "unsafe", "desk", 2000, "")
           + "],\"services\":[{\"name\":\"model\",\"healthPath\":\"/health\",\"maxConns\":360,"
             "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kvCapacityTokens\":"
             "1324158,\"tokensPerEvent\":14,\"models\":[{\"name\":\"m\"}]}},{\"name\":\"desk\","
             "\"healthPath\":\"/health\",\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false}],"
             "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":"
             "3000,\"idleTimeoutMs\":15000}}";
}

} // namespace

Deployment::Deployment(const DeploymentSettings &deploymentSettings, Record &caseRecord)
    : record(caseRecord)
{
    const char *base = std::getenv("TMPDIR"); // run.sh removes it
    this->folder = std::string(base == nullptr ? "/tmp" : base) + "/lacewingmux-review-XXXXXX";
    if (::mkdtemp(this->folder.data()) == nullptr)
        ::_exit(2);
    this->store.put("op/config", configuration());
    for (int number = 1; number <= 3; ++number)
        this->records.push_back(std::make_unique<Daemon>(
                Daemon::Settings{Daemon::Role::Records, number,
                                 zones[static_cast<std::size_t>(number - 1)], this->folder,
                                 this->store.port(), deploymentSettings.storeMemoryMb, 1, 8},
                caseRecord));
    for (int number = 1; number <= deploymentSettings.fronts; ++number)
        this->fronts.push_back(std::make_unique<Daemon>(
                Daemon::Settings{Daemon::Role::Front, number,
                                 zones[static_cast<std::size_t>(number - 1) % 3], this->folder,
                                 this->store.port(), deploymentSettings.frontMemoryMb, 1, 8},
                caseRecord));
    for (int number = 1; number <= deploymentSettings.modelReplicas; ++number) {
        Replica::Settings settings = deploymentSettings.model;
        settings.id = "i-model" + std::to_string(number);
        settings.service = "model";
        settings.zone = zones[static_cast<std::size_t>(number - 1) % 3];
        this->models.push_back(std::make_unique<Replica>(settings, this->store, caseRecord));
    }
    for (int number = 1; number <= 2; ++number) {
        Replica::Settings settings;
        settings.id = "i-desk" + std::to_string(number);
        settings.service = "desk";
        settings.zone = zones[static_cast<std::size_t>(number - 1) % 3];
        this->desks.push_back(std::make_unique<Replica>(settings, this->store, caseRecord));
    }
}

void Deployment::finish(int code)
{
    for (const auto &daemon : this->fronts)
        daemon->kill();
    for (const auto &daemon : this->records)
        daemon->kill();
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(this->folder);
    else
        std::printf("logs in %s\n", this->folder.c_str());
    std::fflush(nullptr);
    ::_exit(code);
}

bool Deployment::start()
{
    for (const auto &daemon : this->records)
        daemon->start();
    for (const auto &daemon : this->fronts)
        daemon->start();
    bool ready = true;
    for (const auto &daemon : this->fronts)
        ready = waitUntilReady(*daemon, 15000) && ready;
    this->record.line("deployment: %s", ready ? "all fronts are ready" : "not ready");
    return ready;
}

bool isCalm()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble != nullptr && std::string(trouble) == "0";
}

void pauseMs(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

} // namespace review
