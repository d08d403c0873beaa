#pragma once

#include "lacewingmux_core/protection/Quarantine.h"
#include "lacewingmux_core/time/TimerService.h"

#include <QByteArray>

#include <chrono>
#include <functional>
#include <unordered_map>
#include <vector>

namespace lacewingmux {

/**
    Tells replicas that crash under a request from connections that merely broke.

    A request whose replica closed the connection without a word is held against it only if the
    replica then can't be reached: both within a moment are a crash. After crashes of three replicas
    the request is quarantined; an innocent neighbour of one crash is not, because it is sent to a
    sound replica next. Pure: time is passed in.
*/
class CrashSuspicions
{
public:
    using SteadyTime = TimerService::SteadyTime;
    using CrashHook = std::function<void(const CrashCoincidence &)>;

    /** The hook gets each coincidence that was found here, to tell other VMs. */
    explicit CrashSuspicions(CrashHook crashHook);

    /** Notes that a replica closed the connection without an answer to the request. */
    void noteBroken(const QByteArray &instance, const QByteArray &contentDigest, SteadyTime now);

    /** Notes that a replica can't be reached. */
    void noteUnreachable(const QByteArray &instance, SteadyTime now);

    /** Takes a coincidence that another VM found. */
    void takeNotice(const CrashCoincidence &coincidence, SteadyTime now);

    /** Tells whether any request is suspected or quarantined. */
    [[nodiscard]] bool holdsAny() const noexcept;

    /** Tells whether the request must not be sent to any replica. */
    [[nodiscard]] bool isQuarantined(const QByteArray &contentDigest, SteadyTime now) const;

private:
    struct Broken
    {
        QByteArray contentDigest;
        SteadyTime when;
    };

    void dropOld(SteadyTime now);

    CrashHook found;
    Quarantine quarantine;
    std::unordered_map<QByteArray, std::vector<Broken>> broken; ///< by instance
};

} // namespace lacewingmux
