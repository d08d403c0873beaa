#pragma once

#include "loops/EventLoop.h"

#include "lacewingmux_core/metrics/IgnoringMetricsRecorder.h"
#include "lacewingmux_peer/links/InMemoryPeerNetwork.h"
#include "lacewingmux_peer/links/PeerHub.h"
#include "lacewingmux_records/log/SegmentedLog.h"
#include "lacewingmux_records/members/RecordsView.h"
#include "lacewingmux_records/messages/RecordsCodec.h"
#include "lacewingmux_records/server/RecordsServer.h"

#include <QDir>
#include <QString>

#include <memory>
#include <optional>
#include <vector>

namespace lacewingmux {

/** One records VM on a real log, and a hub that sends to it. */
struct RecordsVmOnDisk
{
    explicit RecordsVmOnDisk(const QString &folder)
        : network(this->loop.timers)
        , hub(this->network.makeHub({QStringLiteral("r1"), QStringLiteral("zone"), 1}))
        , sender(this->network.makeHub({QStringLiteral("e1"), QStringLiteral("zone"), 2}))
        , log(folder, this->loop.timers)
        , server(*this->hub, this->log, this->loop.timers, this->metrics, {})
    {
        RecordsView view;
        view.number = 1;
        RecordsMember member;
        member.vm.incarnation = this->hub->self();
        member.state = MemberState::Synced;
        view.members = {member};
        this->sender->setPeers(view.descriptors());
        this->server.setView(view);
        this->sender->setHandler(FrameKind::WriteRecordsAck,
                                 [this](const auto &, const auto &) { ++this->acknowledgements; });
        this->sender->setHandler(FrameKind::OpenTurnReply, [this](const auto &, const auto &frame) {
            this->reply = RecordsCodec::decodeOpenReply(frame.payload);
        });
        this->loop.waitUntil([this] { return this->sender->isConnected(this->hub->self()); },
                             "the link");
    }

    /** Writes the records at once, so that none expires in between. */
    void write(const std::vector<Record> &records)
    {
        const int expected = this->acknowledgements + static_cast<int>(records.size());
        // All of them may be longer than a frame.
        for (const Record &record : records)
            this->sender->send(this->hub->self(), {FrameKind::WriteRecords, 1, 1,
                                                   RecordsCodec::encodeRecords({record})});
        this->loop.waitUntil([this, expected] { return this->acknowledgements >= expected; },
                             "the records on disk");
    }

    /** Requests a chain with its history. */
    OpenTurnReplyMessage open(const QByteArray &previous)
    {
        OpenTurnMessage message;
        message.team = "team";
        message.previousTurn = previous;
        message.wantsHistory = true;
        return this->open(message);
    }

    OpenTurnReplyMessage open(const OpenTurnMessage &message)
    {
        this->reply = std::nullopt;
        this->sender->send(this->hub->self(),
                           {FrameKind::OpenTurn, 1, 2, RecordsCodec::encodeOpen(message)});
        this->loop.waitUntil([this] { return this->reply.has_value(); }, "the chain");
        return *this->reply;
    }

    EventLoop loop;
    IgnoringMetricsRecorder metrics;
    InMemoryPeerNetwork network;
    std::unique_ptr<PeerHub> hub;
    std::unique_ptr<PeerHub> sender;
    SegmentedLog log;
    RecordsServer server;
    int acknowledgements = 0;
    std::optional<OpenTurnReplyMessage> reply;
};

/** Returns the size of all log files in the folder. */
inline qint64 logBytesIn(const QString &folder)
{
    qint64 bytes = 0;
    for (const QFileInfo &file : QDir(folder).entryInfoList({QStringLiteral("*.log")}, QDir::Files))
        bytes += file.size();
    return bytes;
}

} // namespace lacewingmux
