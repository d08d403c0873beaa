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

/** The journal messages for one peer collected in one turn of the event loop. */
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
    Collects the journal's messages for each peer and sends them at the end of the event loop's
    turn, batched into frames not much larger than the limit.
*/
class PeerOutbox
{
public:
    /** Called with a peer when sending to it failed. */
    using FailureHandler = std::function<void(const VmIncarnation &peer)>;

    PeerOutbox(PeerHub &peerHub, TimerService &timerService, std::size_t frameLimit);
    ~PeerOutbox();
    PeerOutbox(const PeerOutbox &) = delete;
    PeerOutbox &operator=(const PeerOutbox &) = delete;

    /** Discards pending messages and stamps all later frames with the epoch. */
    void beginEpoch(std::uint64_t newEpoch);

    /** Returns the peer's pending messages, for adding messages. */
    [[nodiscard]] PeerMessages &messagesFor(const VmIncarnation &peer);

    /** Sends a frame without payload immediately. */
    void sendWithoutPayload(const VmIncarnation &peer, FrameKind kind);

    void setFailureHandler(FailureHandler handler);

private:
    void flush();
    void flushTo(const VmIncarnation &peer, const PeerMessages &messages);
    void send(const VmIncarnation &peer, FrameKind kind, QByteArray payload);

    PeerHub &hub;
    TimerService &timers;
    std::size_t frameBytes;
    std::uint64_t epoch = 0;
    std::map<VmIncarnation, PeerMessages> pendingMessages;
    bool flushScheduled = false;
    FailureHandler failureHandler;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lacewingmux
