#pragma once

#include "Caller.h"
#include "Fleet.h"
#include "Record.h"
#include "Replica.h"
#include "Store.h"

#include <memory>
#include <string>
#include <vector>

namespace review {

/** What a small deployment consists of. */
struct DeploymentSettings
{
    int fronts = 1;
    int frontMemoryMb = 110;
    int storeMemoryMb = 140;
    int modelReplicas = 2;
    Replica::Settings model; ///< without id, service and zone
};

/** A small deployment on loopback: the platform's store, three store machines in three zones, entry
    machines, replicas of a model and of a plain service, and a configuration with four routes:
    /turn/ (a stream that is kept), /stream/, /safe/ and /unsafe/. */
class Deployment
{
public:
    Deployment(const DeploymentSettings &deploymentSettings, Record &caseRecord);

    /** Ends all processes and the case. Without destroying anything: connections of the stand-ins
        may still be open. */
    [[noreturn]] void finish(int code);

    /** Starts all processes; returns whether all fronts became ready. */
    bool start();

    Store store;
    std::vector<std::unique_ptr<Daemon>> records;
    std::vector<std::unique_ptr<Daemon>> fronts;
    std::vector<std::unique_ptr<Replica>> models;
    std::vector<std::unique_ptr<Replica>> desks;

private:
    Record &record;
    std::string folder;
};

/** Returns whether the disruption is to be left out (TROUBLE=0). */
bool isCalm();

/** Waits; for the pauses of a case. */
void pauseMs(int milliseconds);

} // namespace review
