#pragma once

#include "callers/CallRecord.h"
#include "callers/CallWork.h"

#include "lacewingmux_core/time/TimerSubscription.h"

#include <QByteArray>
#include <QHostAddress>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>

class QTcpSocket;

namespace lacewingmux {
class ResponseDecoder;
}

namespace lacewingmux::soak {

/**
    A caller that makes one call after the other and keeps its connection as long as the VM lets it.
    A broken stream that may be resumed is resumed on a new connection, and some are given up and
    resumed; a plain call that may run again and failed is sent again. Half of these attempts keep
    the id of the one before.
*/
class SoakCaller
{
public:
    /** An entry VM that takes a new connection. */
    struct Target
    {
        QByteArray vm;
        QHostAddress address;
        std::uint16_t port = 0;
    };
    struct Hooks
    {
        std::function<Target()> chooseVm;
        std::function<void(const CallRecord &)> record;
    };

    SoakCaller(QByteArray callerName, bool makesStreams, std::uint32_t seed,
               TimerService &timerService, Hooks callerHooks);
    ~SoakCaller();
    SoakCaller(const SoakCaller &) = delete;
    SoakCaller &operator=(const SoakCaller &) = delete;

    void start();

    /** Makes no further call. */
    void finish();

    [[nodiscard]] bool isBusy() const noexcept
    {
        return this->current.has_value();
    }

private:
    void planNext();
    [[nodiscard]] CallWork drawWork();
    [[nodiscard]] CallWork drawStream();
    void beginCall();
    void connectToVm();
    void send();
    void read();
    void recordStrayBytes(const QByteArray &bytes);
    void handleClose(bool inOrder);
    void handleNotConnected();
    void takeAnswer();
    void endCall(CallEnd end);
    void repeatIfFailed(const CallRecord &ended);
    void resumeStream(const CallRecord &ended);
    void repeatPlain(const CallRecord &ended);
    void dropConnection();
    [[nodiscard]] int draw(int least, int most);

    QByteArray name;
    bool streams;
    std::mt19937 random;
    TimerService &timers;
    Hooks hooks;
    std::unique_ptr<QTcpSocket> socket;
    std::unique_ptr<ResponseDecoder> decoder;
    Target target;
    int callsOnConnection = 0;
    int callCount = 0;
    bool isFinishing = false;
    CallWork work;
    std::optional<CallWork> repetition;
    std::optional<CallRecord> current; ///< while a call is sent or under way
    std::optional<CallRecord> last;    ///< on this connection
    TimerSubscription pauseTimer;
    TimerSubscription limitTimer;
    TimerSubscription giveUpTimer;
};

} // namespace lacewingmux::soak
