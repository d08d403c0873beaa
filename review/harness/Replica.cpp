#include "Replica.h"

#include "Record.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <atomic>
#include <thread>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

/** Requests at once, as in the site file. */
int slotsOf(const std::string &service)
{
    return service == "desk" ? 6 : 64;
}

std::mutex runsMutex;
std::vector<Run> allRuns;
std::atomic<int> stamps{0};

std::string chunk(const std::string &text)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

} // namespace

std::vector<Run> Replica::runs()
{
    const std::lock_guard lock(runsMutex);
    return allRuns;
}

Replica::Replica(const std::string &replicaId, std::string serviceName, std::string zoneName,
                 Planner planner)
    : service(std::move(serviceName))
    , zone(std::move(zoneName))
    , plan(std::move(planner))
{
    this->start(replicaId);
}

void Replica::start(const std::string &replicaId)
{
    const std::lock_guard lock(this->mutex);
    this->id = replicaId;
    this->port = 0;
    this->listener = listenOn("127.0.0.1", this->port);
    this->born = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
    std::thread([this, own = this->listener] { this->accept(own); }).detach();
}

void Replica::crash()
{
    const std::lock_guard lock(this->mutex);
    if (this->listener < 0)
        return;
    ::shutdown(this->listener, SHUT_RDWR);
    ::close(this->listener);
    this->listener = -1;
    for (const int descriptor : this->open)
        ::shutdown(descriptor, SHUT_RDWR);
}

bool Replica::isRunning()
{
    const std::lock_guard lock(this->mutex);
    return this->listener >= 0;
}

std::string Replica::currentId()
{
    const std::lock_guard lock(this->mutex);
    return this->id;
}

std::string Replica::entry()
{
    const std::lock_guard lock(this->mutex);
    return QJsonDocument(QJsonObject{{"service", QString::fromStdString(this->service)},
                                     {"address", QString("127.0.0.1:%1").arg(this->port)},
                                     {"zone", QString::fromStdString(this->zone)},
                                     {"version", 1},
                                     {"slots", slotsOf(this->service)},
                                     {"state", "ready"},
                                     {"coldRemainingMs", 0},
                                     {"callSeq", 0},
                                     {"born", this->born}})
            .toJson(QJsonDocument::Compact)
            .toStdString();
}

void Replica::accept(int ownListener)
{
    while (true) {
        const int descriptor = ::accept4(ownListener, nullptr, nullptr, SOCK_CLOEXEC);
        const std::lock_guard lock(this->mutex);
        if (this->listener != ownListener) {
            if (descriptor >= 0)
                ::close(descriptor);
            return;
        }
        if (descriptor < 0)
            continue;
        this->open.insert(descriptor);
        std::thread([this, descriptor, own = this->id] { this->serve(descriptor, own); }).detach();
    }
}

void Replica::serve(int descriptor, const std::string &ownId)
{
    Connection connection(descriptor);
    while (true) {
        Request request;
        if (!connection.readRequest(request, Clock::now() + std::chrono::seconds(20))
            || !this->answer(connection, request, ownId))
            break;
    }
    const std::lock_guard lock(this->mutex);
    this->open.erase(descriptor);
    connection.close();
}

bool Replica::wait(Connection &connection, std::chrono::milliseconds time,
                   Clock::time_point deadline) const
{
    const auto end = std::min(Clock::now() + time, deadline);
    while (Clock::now() < end) {
        if (connection.isGone())
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return Clock::now() < deadline;
}

bool Replica::answer(Connection &connection, const Request &request, const std::string &ownId)
{
    const std::string requestId = fieldOf(request.fields, "Lacewingmux-Request-Id");
    const std::string common =
            "Lacewingmux-Request-Id: " + requestId + "\r\nLacewingmux-Server-Load: 1,0,"
            + std::to_string(slotsOf(this->service)) + "\r\nKeep-Alive: timeout=20\r\n";
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/health" || path == "/v1/report") {
        const std::string body = path == "/health" ? "" : "{}";
        return connection.write("HTTP/1.1 200 OK\r\nLacewingmux-Instance-Id: " + ownId
                                + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                                + body);
    }
    const std::string expected = fieldOf(request.fields, "Lacewingmux-Expect-Instance");
    if (requestId.empty() || (!expected.empty() && expected != ownId)) {
        const std::string status =
                requestId.empty() ? "400 Bad Request" : "421 Misdirected Request";
        return connection.write("HTTP/1.1 " + status + "\r\n" + common
                                + "Lacewingmux-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    const Plan todo = this->plan(request);
    const std::string deadlineText = fieldOf(request.fields, "Lacewingmux-Deadline-Ms");
    const auto deadline =
            Clock::now()
            + std::chrono::milliseconds(deadlineText.empty() ? 60000 : std::stoll(deadlineText));
    std::size_t number = 0;
    {
        const std::lock_guard lock(runsMutex);
        number = allRuns.size();
        allRuns.push_back(
                {requestId, ownId, request.target, request.body, Clock::now(), todo.crashes});
    }
    Record::write("replica %s runs %s %s (%zu bytes)%s", ownId.c_str(), requestId.c_str(),
                  path.c_str(), request.body.size(), todo.crashes ? ", which crashes it" : "");
    if (!this->wait(connection, todo.work, deadline))
        return false;
    if (todo.crashes) {
        this->crash();
        if (this->crashed)
            this->crashed();
        return false;
    }
    const std::string head = "HTTP/1.1 200 OK\r\n" + common + "Lacewingmux-Server-Stamp: st."
                             + std::to_string(++stamps) + "." + std::to_string(number) + "\r\n";
    if (todo.events == 0) {
        const std::string body = "done " + requestId + "\n";
        return connection.write(head + "Content-Type: text/plain\r\nContent-Length: "
                                + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    if (!connection.write(head + "Content-Type: text/event-stream\r\n"
                          + "Transfer-Encoding: chunked\r\n\r\n"))
        return false;
    const std::string resumed = fieldOf(request.fields, "Last-Event-Id");
    for (int event = resumed.empty() ? 1 : std::stoi(resumed) + 1; event <= todo.events; ++event) {
        if (!connection.write(chunk("id: " + std::to_string(event) + "\ndata: " + requestId + "-"
                                    + std::to_string(event) + "\n\n")))
            return false;
        if (event < todo.events && !this->wait(connection, todo.interval, deadline))
            return false;
    }
    return connection.write("0\r\n\r\n");
}

} // namespace review
