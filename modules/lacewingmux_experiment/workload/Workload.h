#pragma once

#include <QString>

#include <chrono>
#include <cstdint>
#include <vector>

namespace lacewingmux::experiment {

/** An availability zone and its VMs. */
struct ZoneSpec
{
    QString name;
    int vms = 1;
};

/** A pool of like replicas, spread over the zones in turn. */
struct PoolSpec
{
    QString name;
    int replicas = 1;
    int capacity = 16;                     ///< sequences a replica runs at once
    std::int64_t prefixMemoryTokens = 0;   ///< of one replica, running and cached together
    std::chrono::microseconds stepBase{0}; ///< time of a step with nothing in it
    std::chrono::microseconds stepPerSequence{0};
    std::chrono::microseconds prefillPerToken{0};
};

/** A team and its part of the offered load. */
struct TeamSpec
{
    QString name;
    double weight = 1;
    double share = 0; ///< relative to the other teams
};

/** An inclusive range from which values are drawn evenly. */
struct IntegerRange
{
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
};

/** A kind of program. */
struct ProgramClassSpec
{
    QString name;
    QString pool;
    double part = 0; ///< of the programs of the pool, relative to the other classes
    IntegerRange turns;
    IntegerRange firstPromptTokens;
    IntegerRange turnTokens; ///< what a tool or a person adds before a later turn
    IntegerRange outputTokens;
    std::chrono::milliseconds meanPause{0};
    double helperProbability = 0; ///< that a turn hands work to helpers
    int helperCount = 0;
    IntegerRange helperTurns;
};

/** What goes wrong. */
enum class FaultKind : std::uint8_t { ReplicaCrash, ReplicaSlow, ZoneCut, StoreOutage };

/** One fault of a run. */
struct FaultSpec
{
    FaultKind kind = FaultKind::ReplicaCrash;
    std::chrono::seconds at{0};
    std::chrono::seconds duration{0};
    QString target;    ///< zone or replica; empty for a store outage
    double factor = 1; ///< of step time, for a slow replica
};

/** One scenario of a workload, as read from its JSON file. */
struct Workload
{
    QString name;
    QString scenario;
    std::vector<ZoneSpec> zones;
    std::vector<PoolSpec> pools;
    std::vector<TeamSpec> teams;
    std::vector<ProgramClassSpec> classes;
    std::vector<FaultSpec> faults;
    double load = 0.8; ///< 1 keeps every engine busy if each prompt is computed in full
    std::chrono::seconds duration{600}; ///< in which programs arrive
    std::chrono::milliseconds queueTimeout{30000};
    std::chrono::milliseconds reportInterval{500};
    std::chrono::milliseconds reportLag{500};
    QString surgeTeam;
    double surgeFactor = 1;   ///< by which the surge team exceeds its share
    int poisonedPrograms = 0; ///< whose first call crashes each replica that runs it

    /** Returns when a run ends at the latest, measured from its start. */
    [[nodiscard]] std::chrono::seconds longestRun() const
    {
        return this->duration + std::chrono::minutes(30);
    }
};

} // namespace lacewingmux::experiment
