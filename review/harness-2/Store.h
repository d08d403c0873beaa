#pragma once

#include "Http.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/** The platform's store on loopback: keys, ranges, watches, transactions and leases. Sound: it
    answers every call, has no limits and forgets nothing. Leases never end. */
class Store
{
public:
    Store();
    [[nodiscard]] std::uint16_t port() const
    {
        return this->listener->port();
    }
    /** Writes a key as the operator or a replica does. */
    void put(const std::string &key, const std::string &value);
    void erase(const std::string &key);
    /** Returns the value of a key; empty if there is none. */
    std::string value(const std::string &key);

private:
    struct Item
    {
        std::string value; ///< in base64
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
        bool deleted = false;
    };
    using Query = std::map<std::string, std::string>;

    void serve(Stream &stream);
    std::string reply(const Message &request, int &status);
    std::string watch(const Query &query);
    std::string transact(const std::string &body, int &status);
    void write(const std::string &key, const std::string &encoded, std::int64_t lease);
    void remove(const std::string &key);
    static std::string describe(const std::string &key, const Item &item);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::vector<std::pair<std::string, Item>> history;
    std::int64_t revision = 1;
    std::int64_t lastLease = 0;
    std::unique_ptr<Listener> listener;
};

} // namespace review
