#pragma once

#include "Http.h"

#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace review {

/** What a replica does with a request. */
struct Plan
{
    int events = 0; ///< of a stream; 0 for a plain answer
    std::chrono::milliseconds interval{30};
    std::chrono::milliseconds work{20}; ///< until the first byte
    bool crashes = false;               ///< the process ends when the work is done
};

/** One run of a request at a replica. */
struct Run
{
    std::string requestId;
    std::string replica;
    std::string target;
    std::string body;
    Clock::time_point began;
    bool crashed = false;
};

/** A sound replica of a service on 127.0.0.1. All runs of all replicas are kept together. */
class Replica
{
public:
    using Planner = std::function<Plan(const Request &)>;

    Replica(const std::string &replicaId, std::string serviceName, std::string zoneName,
            Planner planner);

    /** Starts as a new incarnation under the id, on a new port. */
    void start(const std::string &replicaId);
    /** Ends as a killed process does: all connections and the listener are closed. */
    void crash();
    [[nodiscard]] bool isRunning();
    [[nodiscard]] std::string entry();
    [[nodiscard]] std::string currentId();

    const std::string service;
    const std::string zone;

    static std::vector<Run> runs();
    /** Called after a crash that a request has caused. */
    std::function<void()> crashed;

private:
    void accept(int ownListener);
    void serve(int descriptor, const std::string &ownId);
    /** Returns whether the connection is kept. */
    bool answer(Connection &connection, const Request &request, const std::string &ownId);
    bool wait(Connection &connection, std::chrono::milliseconds time,
              Clock::time_point deadline) const;

    std::mutex mutex;
    Planner plan;
    std::string id;
    std::uint16_t port = 0;
    int listener = -1;
    long long born = 0;
    std::set<int> open;
};

} // namespace review
