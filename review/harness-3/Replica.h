#pragma once

#include "Record.h"
#include "Store.h"

#include <atomic>
#include <cstdio>
#include <functional>
#include <set>
#include <string>
#include <thread>
#include <tuple>

namespace review {

/** What a replica knows of a connection while it serves a request on it. */
struct Served
{
    int connection;
    Message request;
    std::string id; ///< Lacewingmux-Request-Id
};

/** A replica on loopback. It registers itself, checks in, and gives each request to a function that
    writes the answer; the function returns whether the connection stays open. */
class Replica
{
public:
    using Handler = std::function<bool(Replica &, const Served &)>;

    Replica(Store &platformStore, std::string ownService, std::string ownZone, int slotCount,
            std::string ownAddress, Handler requestHandler)
        : store(platformStore)
        , service(std::move(ownService))
        , zone(std::move(ownZone))
        , slots(slotCount)
        , address(std::move(ownAddress))
        , handler(std::move(requestHandler))
    { }

    /** Starts, or starts again on the same address with a new id. */
    bool start()
    {
        static std::atomic<int> counter{0};
        const std::lock_guard lock(this->mutex);
        this->listener = listenOn(this->address, this->portNumber);
        if (this->listener < 0)
            return false;
        this->portNumber = portOf(this->listener);
        char name[32];
        std::snprintf(name, sizeof name, "i-%08x", 0x5a100000 + ++counter);
        this->ownId = name;
        this->born = std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
        ++this->generation;
        this->running = true;
        std::thread([this, socket = this->listener] { this->accept(socket); }).detach();
        std::thread([this, mine = this->generation] { this->checkIn(mine); }).detach();
        return true;
    }

    /** Ends as a process that crashes: all connections are reset, nothing is written to the store
        until the entry runs out after three check-in intervals. */
    void crash()
    {
        const std::lock_guard lock(this->mutex);
        if (!this->running)
            return;
        this->running = false;
        ::shutdown(this->listener, SHUT_RDWR);
        ::close(this->listener);
        for (const int connection : this->connections) {
            const linger discard{1, 0};
            ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
            const sockaddr unspecified{AF_UNSPEC, {}};
            // Resets the connection.
            std::ignore = ::connect(connection, &unspecified, sizeof unspecified);
        }
        std::thread([this, key = "servers/" + this->ownId] {
            sleepFor(3.6);
            this->store.remove(key);
        }).detach();
    }

    std::string id() const
    {
        const std::lock_guard lock(this->mutex);
        return this->ownId;
    }
    bool isRunning() const
    {
        const std::lock_guard lock(this->mutex);
        return this->running;
    }
    std::string endpoint() const
    {
        return this->address + ':' + std::to_string(this->portNumber);
    }
    std::string stamp() const
    {
        return "3e1b.07.5a2.600.0.c9f2a4d1";
    }
    std::string head(const std::string &status, const std::string &requestId,
                     const std::string &more) const
    {
        return "HTTP/1.1 " + status + "\r\nLacewingmux-Request-Id: " + requestId
               + "\r\nLacewingmux-Server-Stamp: " + this->stamp() + "\r\n" + more + "\r\n";
    }

private:
    void accept(int socket)
    {
        while (true) {
            const int connection = ::accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
                return;
            const int one = 1;
            ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            {
                const std::lock_guard lock(this->mutex);
                if (!this->running) {
                    resetClose(connection);
                    return;
                }
                this->connections.insert(connection);
            }
            std::thread([this, connection] { this->serve(connection); }).detach();
        }
    }
    void serve(int connection)
    {
        std::string buffer;
        Message request;
        const std::string own = this->id();
        while (readRequest(connection, buffer, request, 30)) {
            const std::string id = request.field("Lacewingmux-Request-Id");
            const std::string expected = request.field("Lacewingmux-Expect-Instance");
            if (!expected.empty() && expected != own) {
                const std::string refusal = joined(
                        {"HTTP/1.1 421 Misdirected Request\r\nLacewingmux-Request-Id: ", id,
                         "\r\nLacewingmux-Instance-Id: ", own, "\r\nContent-Length: 0\r\n\r\n"});
                if (!writeAll(connection, refusal))
                    break;
                continue;
            }
            if (!this->handler(*this, {connection, request, id}))
                break;
        }
        {
            const std::lock_guard lock(this->mutex);
            this->connections.erase(connection);
        }
        ::close(connection);
    }
    void checkIn(int mine)
    {
        int sequence = 0;
        while (true) {
            std::string key;
            std::string entry;
            {
                const std::lock_guard lock(this->mutex);
                if (mine != this->generation || !this->running)
                    return;
                key = "servers/" + this->ownId;
                entry = "{\"service\":\"" + this->service + "\",\"address\":\"" + this->endpoint()
                        + "\",\"zone\":\"" + this->zone
                        + "\",\"version\":\"v1\",\"slots\":" + std::to_string(this->slots)
                        + ",\"state\":\"ready\",\"coldRemainingMs\":0,\"callSeq\":"
                        + std::to_string(++sequence) + ",\"born\":" + std::to_string(this->born)
                        + "}";
            }
            this->store.put(key, entry);
            sleepFor(1.2);
        }
    }

    Store &store;
    std::string service;
    std::string zone;
    int slots;
    std::string address;
    int portNumber = 0;
    Handler handler;
    mutable std::mutex mutex;
    std::string ownId;
    std::int64_t born = 0;
    int generation = 0;
    bool running = false;
    int listener = -1;
    std::set<int> connections;
};

} // namespace review
