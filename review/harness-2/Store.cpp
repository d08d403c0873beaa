#include "Store.h"

#include "Json.h"

#include <chrono>

namespace review {

namespace {

constexpr const char *letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encoded(const std::string &text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); index += 3) {
        unsigned bits = 0;
        for (std::size_t part = 0; part < 3; ++part)
            bits = bits << 8U
                   | (index + part < text.size() ? static_cast<unsigned char>(text[index + part])
                                                 : 0U);
        for (std::size_t part = 0; part < 4; ++part)
            result += index + part > text.size() ? '=' : letters[bits >> (18U - 6U * part) & 63U];
    }
    return result;
}

std::string decoded(const std::string &text)
{
    std::string result;
    unsigned bits = 0;
    unsigned count = 0;
    const std::string alphabet = letters;
    for (const char character : text) {
        const std::size_t value = alphabet.find(character);
        if (value == std::string::npos)
            break;
        bits = bits << 6U | static_cast<unsigned>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            result += static_cast<char>(bits >> count & 255U);
        }
    }
    return result;
}

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

Store::Store()
{
    this->listener = std::make_unique<Listener>("127.0.0.1", 0, 0,
                                                [this](Stream &stream) { this->serve(stream); });
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(this->mutex);
    ++this->revision;
    this->write(key, encoded(value), 0);
    this->changed.notify_all();
}

void Store::erase(const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    ++this->revision;
    this->remove(key);
    this->changed.notify_all();
}

std::string Store::value(const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->items.find(key);
    return found == this->items.end() ? std::string() : decoded(found->second.value);
}

void Store::serve(Stream &stream)
{
    while (const auto request = stream.message()) {
        int status = 200;
        const std::string body = this->reply(*request, status);
        if (!stream.write("HTTP/1.1 " + std::to_string(status)
                          + " X\r\nContent-Type: application/json\r\nContent-Length: "
                          + std::to_string(body.size()) + "\r\n\r\n" + body))
            return;
    }
}

std::string Store::reply(const Message &request, int &status)
{
    const std::string target = request.word(1);
    const std::string path = target.substr(0, target.find('?'));
    Query query;
    std::size_t begin = target.find('?');
    while (begin != std::string::npos) {
        const std::size_t end = target.find('&', begin + 1);
        const std::string entry = target.substr(begin + 1, end - begin - 1);
        query[entry.substr(0, entry.find('='))] = urlDecoded(entry.substr(entry.find('=') + 1));
        begin = end;
    }
    if (path == "/v1/kv-watch")
        return this->watch(query);
    if (path == "/v1/kv-txn")
        return this->transact(request.body, status);
    const std::lock_guard lock(this->mutex);
    const std::string state = "\"storeRevision\":" + std::to_string(this->revision);
    if (path == "/v1/kv-key") {
        const auto found = this->items.find(query["key"]);
        if (found == this->items.end()) {
            status = 404;
            return "{" + state + "}";
        }
        const std::string item = describe(found->first, found->second);
        return item.substr(0, item.size() - 1) + "," + state + "}";
    }
    if (path == "/v1/kv-range") {
        std::string list;
        for (const auto &[key, item] : this->items) {
            if (startsWith(key, query["prefix"]) && key > query["after"])
                list += (list.empty() ? "" : ",") + describe(key, item);
        }
        return "{\"items\":[" + list + "],\"hasMore\":false," + state + "}";
    }
    if (path == "/v1/kv-lease")
        return "{\"lease\":" + std::to_string(++this->lastLease) + ",\"ttlMs\":10000}";
    return "{}";
}

std::string Store::watch(const Query &query)
{
    const std::string prefix = query.at("prefix");
    const std::int64_t after = std::stoll(query.at("after"));
    const auto limit = std::chrono::steady_clock::now()
                       + std::chrono::milliseconds(std::stoll(query.at("waitMs")));
    std::unique_lock lock(this->mutex);
    while (true) {
        std::string events;
        for (auto entry = this->history.rbegin();
             entry != this->history.rend() && entry->second.revision > after; ++entry) {
            if (!startsWith(entry->first, prefix))
                continue;
            if (!events.empty())
                events.insert(0, ",");
            events.insert(0, describe(entry->first, entry->second));
        }
        if (!events.empty() || this->changed.wait_until(lock, limit) == std::cv_status::timeout)
            return "{\"events\":[" + events
                   + "],\"storeRevision\":" + std::to_string(this->revision) + "}";
    }
}

std::string Store::transact(const std::string &body, int &status)
{
    const Json call = JsonReader(body).read();
    const std::lock_guard lock(this->mutex);
    std::string current;
    for (const Json &expected : call.at("expectedRev").items) {
        const std::string &key = expected.at("key").text;
        const auto found = this->items.find(key);
        const std::int64_t known = found == this->items.end() ? 0 : found->second.revision;
        if (known != expected.at("rev").number())
            status = 412;
        if (found != this->items.end())
            current += (current.empty() ? "" : ",") + describe(key, found->second);
    }
    if (status == 412)
        return "{\"items\":[" + current + "]}";
    ++this->revision;
    for (const Json &entry : call.at("put").items)
        this->write(entry.at("key").text, entry.at("value").text, entry.at("lease").number());
    for (const Json &entry : call.at("delete").items)
        this->remove(entry.text);
    this->changed.notify_all();
    return "{\"rev\":" + std::to_string(this->revision) + "}";
}

void Store::write(const std::string &key, const std::string &encodedValue, std::int64_t lease)
{
    Item &item = this->items[key];
    item.created = item.created == 0 ? this->revision : item.created;
    item.value = encodedValue;
    item.revision = this->revision;
    item.lease = lease;
    this->history.emplace_back(key, item);
}

void Store::remove(const std::string &key)
{
    Item gone;
    gone.revision = this->revision;
    gone.deleted = true;
    if (this->items.erase(key) > 0)
        this->history.emplace_back(key, gone);
}

std::string Store::describe(const std::string &key, const Item &item)
{
    const std::string head =
            "{\"key\":\"" + key + "\",\"rev\":" + std::to_string(item.revision) + ",";
    if (item.deleted)
        return head + "\"deleted\":true}";
    return head + "\"value\":\"" + item.value + "\",\"createdRev\":" + std::to_string(item.created)
           + ",\"lease\":" + std::to_string(item.lease) + "}";
}

} // namespace review
