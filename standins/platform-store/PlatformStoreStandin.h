#pragma once

#include "platform-store/StoreContents.h"
#include "server/StandinServer.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace lacewingmux::standin {

/** Serves the operators' key-value store over HTTP/1.1 on loopback. */
class PlatformStoreStandin
{
public:
    explicit PlatformStoreStandin(TimerService &timerService);
    ~PlatformStoreStandin();
    PlatformStoreStandin(const PlatformStoreStandin &) = delete;
    PlatformStoreStandin &operator=(const PlatformStoreStandin &) = delete;

    /** Listens on a free port and returns it. Throws LacewingmuxError on failure. */
    std::uint16_t start();

    /** Returns the contents, which the operators may change directly. */
    [[nodiscard]] StoreContents &contents() noexcept
    {
        return this->storeContents;
    }

private:
    /** A poll that waits for a change. */
    struct Watch
    {
        std::shared_ptr<StandinExchange> exchange;
        QByteArray prefix;
        std::int64_t afterRevision = 0;
        TimerSubscription limit;
    };

    void handle(const StandinRequest &request, const std::shared_ptr<StandinExchange> &exchange);
    [[nodiscard]] StoreContents::Reply reply(const StandinRequest &request);
    void beginWatch(const StandinRequest &request,
                    const std::shared_ptr<StandinExchange> &exchange);
    /** Answers the watch if there are changes, or if it has waited for its time. */
    bool answer(const Watch &watch, bool hasWaited) const;
    void handleChange();

    TimerService &timers;
    StoreContents storeContents;
    std::vector<std::shared_ptr<Watch>> watches;
    StandinServer server;
};

} // namespace lacewingmux::standin
