#pragma once

#include "Http.h"
#include "Record.h"
#include "Store.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

/** What a replica ran. */
struct Run
{
    std::string request; ///< Lacewingmux-Request-Id
    std::string target;  ///< path and query
    std::size_t bodyBytes = 0;
    std::uint64_t bodyHash = 0;
    double begin = 0; ///< seconds since the start of the case
};

std::uint64_t hashOf(const std::string &text);

/** A sound replica on loopback that registers itself in the store. A stream has eventCount events;
    other requests are answered after workMs. */
class Replica
{
public:
    struct Settings
    {
        std::string id;
        std::string service;
        std::string zone;
        int slots = 64;
        int eventCount = 4;
        int eventMs = 10;     ///< between two events
        int eventBytes = 100; ///< of an event's data
        int workMs = 20;
        int receiveBufferBytes = 0; ///< 0: as the system sets it
    };

    Replica(const Settings &replicaSettings, Store &platformStore, Record &caseRecord);
    ~Replica();
    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    [[nodiscard]] std::vector<Run> runs();
    /** Tells whether the head of the request has arrived. */
    [[nodiscard]] bool hasArrived(const std::string &request);
    /** Reads bodies at so many bytes a second from now on; 0: at once. */
    void setReadingPace(int bytesPerSecond)
    {
        this->readingPace = bytesPerSecond;
    }
    /** Lets the process of the replica crash when it begins to run a request whose body is this,
       and start again under another id after the time. */
    void setCrash(const std::string &body, int restartMs)
    {
        this->crashBody = body;
        this->crashRestartMs = restartMs;
    }

private:
    void serve(Stream &stream);
    void serveRequests(Stream &stream, const std::function<void(std::size_t)> &pause,
                       const std::function<void(const Message &)> &headRead);
    void run(Stream &stream, const Message &request);
    void registerInStore();
    void crash();

    Settings settings;
    Store &store;
    Record &record;
    std::mutex mutex;
    std::vector<Run> started;
    std::set<std::string> arrived;
    std::atomic<int> readingPace{0};
    std::string crashBody;
    int crashRestartMs = 0;
    int starts = 0;
    std::set<Stream *> open;
    std::atomic<bool> down{false};
    std::atomic<bool> ended{false};
    long long born;
    std::unique_ptr<Listener> listener;
    std::thread heartbeat;
};

} // namespace review
