#pragma once

#include "lacewingmux_core/ids/VmIncarnation.h"
#include "lacewingmux_peer/messages/FrameKind.h"
#include "lacewingmux_zone/replication/JournalMessages.h"

#include <QByteArray>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace lacewingmux {

class PeerHub;
class TimerService;

/** The journal messages for one peer that one turn of the loop has brought. */
struct PeerMessages
{
    std::vector<SlotIndex> surveys;
    std::vector<SurveyAnswer> answers;
    std::vector<StateRequest> requests;
    std::vector<StatePiece> servedPieces;
    std::vector<StatePiece> pushedPieces;
    std::vector<StateAck> stateAcks;
    std::vector<ActivatedSlot> activated;
    std::vector<SlotIndex> activatedRequests;
    std::vector<AppendEntry> appends;
    std::vector<AppendAck> appendAcks;
};

/**
    Gathers the journal's messages for each peer and sends them at the end of the loop's turn, many
    to a frame and no frame much larger than the limit.
*/
class PeerOutbox
{
public:
    /** Called with a peer that couldn't be sent to. */
    using FailureHandler = std::function<void(const VmIncarnation &peer)>;

    PeerOutbox(PeerHub &peerHub, TimerService &timerService, std::size_t frameLimit);
    ~PeerOutbox();
    PeerOutbox(const PeerOutbox &) = delete;
    PeerOutbox &operator=(const PeerOutbox &) = delete;

    /** Drops what waits, and stamps all that follows with the epoch. */
    void beginEpoch(std::uint64_t newEpoch);

    /** Returns the messages waiting for the peer, to be added to. */
    [[nodiscard]] PeerMessages &to(const VmIncarnation &peer);

    /** Sends a frame without payload at once. */
    void sendBare(const VmIncarnation &peer, FrameKind kind);

    void setFailureHandler(FailureHandler handler);

private:
    void flush();
    void flushTo(const VmIncarnation &peer, const PeerMessages &messages);
    void send(const VmIncarnation &peer, FrameKind kind, QByteArray payload);

    PeerHub &hub;
    TimerService &timers;
    std::size_t frameBytes;
    std::uint64_t epoch = 0;
    std::map<VmIncarnation, PeerMessages> waiting;
    bool flushScheduled = false;
    FailureHandler failureHandler;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lacewingmux
