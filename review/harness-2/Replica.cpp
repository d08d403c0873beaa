#include "Replica.h"

#include <algorithm>
#include <chrono>

#include <sys/socket.h>

namespace review {

namespace {

void pauseFor(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

long long nowMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

std::string chunkOf(const std::string &text)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

} // namespace

std::uint64_t hashOf(const std::string &text)
{
    std::uint64_t hash = 1469598103934665603ULL;
    for (const char character : text)
        hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
    return hash;
}

Replica::Replica(const Settings &replicaSettings, Store &platformStore, Record &caseRecord)
    : settings(replicaSettings)
    , store(platformStore)
    , record(caseRecord)
    , born(nowMilliseconds())
{
    this->listener = std::make_unique<Listener>("127.0.0.1", 0, this->settings.receiveBufferBytes,
                                                [this](Stream &stream) { this->serve(stream); });
    this->registerInStore();
    this->heartbeat = std::thread([this] {
        for (int round = 0; !this->ended; ++round) {
            pauseFor(100);
            if (round % 12 == 11 && !this->down)
                this->registerInStore();
        }
    });
}

Replica::~Replica()
{
    this->ended = true;
    this->heartbeat.join();
}

std::vector<Run> Replica::runs()
{
    const std::lock_guard lock(this->mutex);
    return this->started;
}

bool Replica::hasArrived(const std::string &request)
{
    const std::lock_guard lock(this->mutex);
    return this->arrived.contains(request);
}

void Replica::crash()
{
    if (this->down.exchange(true))
        return;
    std::thread([this] {
        const std::uint16_t port = this->listener->port();
        this->listener.reset();
        const std::string former = this->settings.id;
        {
            const std::lock_guard lock(this->mutex);
            for (const Stream *stream : this->open)
                ::shutdown(stream->descriptor, SHUT_RDWR);
        }
        pauseFor(this->crashRestartMs);
        {
            const std::lock_guard lock(this->mutex);
            this->settings.id =
                    former.substr(0, former.find('-', 2)) + "-" + std::to_string(++this->starts);
            this->born = nowMilliseconds();
        }
        this->listener =
                std::make_unique<Listener>("127.0.0.1", port, this->settings.receiveBufferBytes,
                                           [this](Stream &stream) { this->serve(stream); });
        this->registerInStore();
        this->down = false;
        pauseFor(std::max(0, 3600 - this->crashRestartMs)); // three heartbeats without one
        this->store.erase("servers/" + former);
    }).detach();
}

void Replica::registerInStore()
{
    const std::lock_guard lock(this->mutex);
    this->store.put("servers/" + this->settings.id,
                    "{\"service\":\"" + this->settings.service + "\",\"address\":\"127.0.0.1:"
                            + std::to_string(this->listener->port()) + "\",\"zone\":\""
                            + this->settings.zone + "\",\"version\":\"1\",\"slots\":"
                            + std::to_string(this->settings.slots)
                            + ",\"state\":\"ready\",\"coldRemainingMs\":0,\"callSeq\":0,\"born\":"
                            + std::to_string(this->born) + "}");
}

void Replica::serve(Stream &stream)
{
    const auto pause = [this](std::size_t taken) {
        const int pace = this->readingPace;
        if (pace > 0)
            std::this_thread::sleep_for(std::chrono::duration<double>(static_cast<double>(taken)
                                                                      / static_cast<double>(pace)));
    };
    const auto headRead = [this](const Message &head) {
        const std::lock_guard lock(this->mutex);
        this->arrived.insert(head.field("lacewingmux-request-id"));
    };
    {
        const std::lock_guard lock(this->mutex);
        this->open.insert(&stream);
    }
    this->serveRequests(stream, pause, headRead);
    const std::lock_guard lock(this->mutex);
    this->open.erase(&stream);
}

void Replica::serveRequests(Stream &stream, const std::function<void(std::size_t)> &pause,
                            const std::function<void(const Message &)> &headRead)
{
    while (const auto request = stream.message(pause, headRead)) {
        std::string id;
        {
            const std::lock_guard lock(this->mutex);
            id = this->settings.id;
        }
        const std::string expected = request->field("lacewingmux-expect-instance");
        if (!expected.empty() && expected != id) {
            this->record.line("replica %s: 421 for %s", id.c_str(),
                              request->field("lacewingmux-request-id").c_str());
            if (!stream.write("HTTP/1.1 421 Misdirected Request\r\nLacewingmux-Request-Id: "
                              + request->field("lacewingmux-request-id")
                              + "\r\nLacewingmux-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
                return;
            continue;
        }
        this->run(stream, *request);
        if (stream.isClosed())
            return;
    }
}

void Replica::run(Stream &stream, const Message &request)
{
    const std::string id = request.field("lacewingmux-request-id");
    const std::string target = request.word(1);
    Run run{id, target, request.body.size(), hashOf(request.body), seconds()};
    std::size_t number = 0;
    {
        const std::lock_guard lock(this->mutex);
        this->started.push_back(run);
        number = this->started.size();
    }
    this->record.line("replica %s: runs %s %s, body of %zu bytes", this->settings.id.c_str(),
                      id.c_str(), target.c_str(), request.body.size());
    if (!this->crashBody.empty() && request.body == this->crashBody) {
        this->record.line("replica %s: crashes", this->settings.id.c_str());
        this->crash();
        pauseFor(20);
        return;
    }
    const std::string stamp = this->settings.id + "." + std::to_string(number);
    const std::string common = "HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: " + id
                               + "\r\nLacewingmux-Server-Stamp: " + stamp
                               + "\r\nKeep-Alive: timeout=10\r\n";
    if (target.find("/stream/") == std::string::npos
        && target.find("/turn/") == std::string::npos) {
        pauseFor(this->settings.workMs);
        const std::string body = "answer to " + id;
        if (!stream.write(common + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                          + body))
            return;
        return;
    }
    if (!stream.write(common
                      + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
        return;
    for (int event = 1; event <= this->settings.eventCount; ++event) {
        pauseFor(this->settings.eventMs);
        std::string data = id + "-" + std::to_string(event) + "-";
        data.resize(std::max<std::size_t>(data.size(), this->settings.eventBytes), 'x');
        if (stream.isClosed()
            || !stream.write(chunkOf("id: " + std::to_string(event) + "\ndata: " + data + "\n\n")))
            return;
    }
    if (!stream.write("0\r\n\r\n"))
        return;
}

} // namespace review
