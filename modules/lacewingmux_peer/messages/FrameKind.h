#pragma once

#include <cstdint>

namespace lacewingmux {

/**
    The kinds of frame between daemons. The payload of each kind is a FlatBuffers table of the
    module named behind it; a daemon ignores kinds that it does not know.
*/
enum class FrameKind : std::uint16_t {
    // lacewingmux_peer, both channels
    Hello = 1,
    HelloProof = 2,
    Ping = 3,
    Pong = 4,

    // lacewingmux_zone, control channel
    Heartbeat = 20,
    HeartbeatReply = 21,
    ViewAnnouncement = 22,
    ViewRequest = 23,

    // lacewingmux_zone, traffic channel
    SlotSync = 30,
    SlotSyncReply = 31,
    SlotState = 32,
    JournalAppend = 33,
    JournalAck = 34,
    JournalRefusal = 35,
    SlotSurvey = 36,
    SlotSurveyReply = 37,
    SlotStateAck = 38,
    SlotActivated = 39,
    CopyAppend = 40,
    CopyAck = 41,
    CopyFetch = 42,
    CopyFetchReply = 43,
    SlotActivatedRequest = 44,

    // lacewingmux_http, traffic channel
    OwnerRequest = 60,
    OwnerResponseHead = 61,
    OwnerResponseChunk = 62,
    OwnerResponseEnd = 63,
    OwnerResponseError = 64,
    OwnerRequestCancel = 65,

    // lacewingmux_allowance, traffic channel
    GrantRequest = 80,
    GrantReply = 81,
    PowerRequest = 82,
    PowerReply = 83,
    PowerRelease = 84,

    // lacewingmux_allowance, control channel
    DemandReport = 90,
    ShareAnnouncement = 91,

    // lacewingmux_config, control channel
    ConfigurationAnnouncement = 100,
    ConfigurationRequest = 101,
    ConfigurationInForce = 102,

    // lacewingmux_scheduling and lacewingmux_backend
    QuarantineNotice = 110,
    ReplicaReport = 111,
    OrderLeaseRequest = 112, // without payload: the frame's epoch is what is to be acknowledged
    OrderLeaseReply = 113,   // without payload: the frame's epoch is the replier's own

    // lacewingmux_report, control channel
    MetricsRequest = 120,
    MetricsReply = 121,

    // lacewingmux_records, traffic channel; the epoch is the number of the sender's records view
    OpenTurn = 140,
    OpenTurnReply = 141,
    WriteRecords = 142,
    WriteRecordsAck = 143, // without payload
    RecordsViewNotice = 144,
    PullKeys = 145,
    PullKeysReply = 146,
    FetchRecords = 147,
    FetchRecordsReply = 148,
    GrantTokens = 149,
    GrantTokensReply = 150,
    ConfigurationDocumentRequest = 151, // without payload
    ConfigurationDocumentReply = 152,
    CrashNotice = 153,
    CrashSuspicionCleared = 154, // a CrashNotice whose crash is empty
    HistoryPartRequest = 155,
    HistoryPart = 156,

    // lacewingmux_relay, traffic channel
    RelaySubscribe = 160, // without payload
    RelayUpdate = 161,
    RelayStatus = 162,

    // lacewingmux_tunnel, a connection of its own
    TunnelRequest = 170,
    TunnelReply = 171,

    // lacewingmux_node, traffic channel
    TunnelStopNotice = 172 // without payload; the sender opens no more tunnels
};

} // namespace lacewingmux
