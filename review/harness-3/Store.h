#pragma once

#include "Http.h"
#include "Json.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

/** The store of PROTOCOL.md on loopback. Values are kept in base64. */
class Store
{
public:
    bool start()
    {
        this->listener = listenOn("127.0.0.1", 0);
        if (this->listener < 0)
            return false;
        std::thread([this] { this->serve(); }).detach();
        return true;
    }
    int port() const
    {
        return portOf(this->listener);
    }
    /** Writes as an operator or a replica does. */
    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(this->mutex);
        this->write(key, base64(value));
    }
    void remove(const std::string &key)
    {
        const std::lock_guard lock(this->mutex);
        if (this->items.erase(key) == 0)
            return;
        ++this->revision;
        this->events.push_back({this->revision, key, true, {}});
        this->changed.notify_all();
    }
    bool has(const std::string &key)
    {
        const std::lock_guard lock(this->mutex);
        return this->items.contains(key);
    }

private:
    struct Item
    {
        std::string value;
        std::int64_t rev = 0;
        std::int64_t createdRev = 0;
    };
    struct Event
    {
        std::int64_t rev;
        std::string key;
        bool deleted;
        Item item;
    };

    void write(const std::string &key, const std::string &encoded)
    {
        Item &item = this->items[key];
        ++this->revision;
        item.value = encoded;
        item.rev = this->revision;
        if (item.createdRev == 0)
            item.createdRev = this->revision;
        this->events.push_back({this->revision, key, false, item});
        this->changed.notify_all();
    }
    static std::string text(const std::string &key, const Item &item)
    {
        return "{\"key\":\"" + key + "\",\"value\":\"" + item.value
               + "\",\"rev\":" + std::to_string(item.rev)
               + ",\"createdRev\":" + std::to_string(item.createdRev) + ",\"lease\":0";
    }
    void serve()
    {
        while (true) {
            const int connection = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
                continue;
            std::thread([this, connection] {
                std::string buffer;
                Message request;
                while (readRequest(connection, buffer, request, 300)) {
                    int status = 200;
                    const std::string body = this->answer(request, status);
                    if (!writeAll(connection, "HTTP/1.1 " + std::to_string(status)
                                                      + " X\r\nContent-Type: application/json\r\n"
                                                        "Content-Length: "
                                                      + std::to_string(body.size()) + "\r\n\r\n"
                                                      + body))
                        break;
                }
                ::close(connection);
            }).detach();
        }
    }
    std::string answer(const Message &request, int &status)
    {
        const std::size_t space = request.start.find(' ');
        const std::string target =
                request.start.substr(space + 1, request.start.find(' ', space + 1) - space - 1);
        const std::size_t mark = target.find('?');
        const std::string path = target.substr(0, mark);
        std::map<std::string, std::string> query;
        if (mark != std::string::npos) {
            std::istringstream parts(target.substr(mark + 1));
            std::string part;
            while (std::getline(parts, part, '&')) {
                const std::size_t equals = part.find('=');
                query[part.substr(0, equals)] = percentDecoded(part.substr(equals + 1));
            }
        }
        std::unique_lock lock(this->mutex);
        if (path == "/v1/kv-key") {
            const auto found = this->items.find(query["key"]);
            if (found == this->items.end()) {
                status = 404;
                return "{}";
            }
            return text(found->first, found->second)
                   + ",\"storeRevision\":" + std::to_string(this->revision) + "}";
        }
        if (path == "/v1/kv-range") {
            std::string list;
            int count = 0;
            bool more = false;
            for (auto item = this->items.upper_bound(query["after"]); item != this->items.end();
                 ++item) {
                if (!item->first.starts_with(query["prefix"]))
                    continue;
                if (++count > 500) {
                    more = true;
                    break;
                }
                list += (list.empty() ? "" : ",") + text(item->first, item->second) + "}";
            }
            return "{\"items\":[" + list + "],\"hasMore\":" + (more ? "true" : "false")
                   + ",\"storeRevision\":" + std::to_string(this->revision) + "}";
        }
        if (path == "/v1/kv-watch") {
            const std::int64_t after = std::stoll(query["after"]);
            const auto end = Clock::now() + std::chrono::milliseconds(std::stoll(query["waitMs"]));
            std::string list;
            const auto collect = [&] {
                for (const Event &event : this->events) {
                    if (event.rev <= after || !event.key.starts_with(query["prefix"]))
                        continue;
                    list += list.empty() ? "" : ",";
                    list += event.deleted ? "{\"key\":\"" + event.key
                                                    + "\",\"rev\":" + std::to_string(event.rev)
                                                    + ",\"deleted\":true}"
                                          : text(event.key, event.item) + "}";
                }
                return !list.empty();
            };
            while (!collect()) {
                if (this->changed.wait_until(lock, end) == std::cv_status::timeout) {
                    collect();
                    break;
                }
            }
            return "{\"events\":[" + list + "],\"storeRevision\":" + std::to_string(this->revision)
                   + "}";
        }
        if (path == "/v1/kv-txn") {
            const Json body = Json::parse(request.body);
            bool holds = true;
            std::string current;
            for (const Json &row : body.at("expectedRev").items) {
                const auto found = this->items.find(row.at("key").text);
                const std::int64_t rev = found == this->items.end() ? 0 : found->second.rev;
                holds = holds && rev == static_cast<std::int64_t>(row.at("rev").number);
                if (rev != 0)
                    current +=
                            (current.empty() ? "" : ",") + text(found->first, found->second) + "}";
            }
            if (!holds) {
                status = 412;
                return "{\"items\":[" + current + "]}";
            }
            for (const Json &row : body.at("put").items)
                this->write(row.at("key").text, row.at("value").text);
            for (const Json &key : body.at("delete").items) {
                if (this->items.erase(key.text) > 0)
                    this->events.push_back({++this->revision, key.text, true, {}});
            }
            return "{\"rev\":" + std::to_string(this->revision) + "}";
        }
        status = 404;
        return "{}";
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::vector<Event> events;
    std::int64_t revision = 1;
    int listener = -1;
};

} // namespace review
