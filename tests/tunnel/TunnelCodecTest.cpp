#include "bytes/MutatedBytes.h"

#include "lacewingmux_tunnel/messages/TunnelCodec.h"

#include <QBuffer>

#include <criterion/criterion.h>

#include <tuple>

using namespace lacewingmux;

namespace {

TunnelRequest sampleRequest()
{
    const QHostAddress address(QStringLiteral("10.1.2.3"));
    return {address, 8188, TunnelRequest::proofFor("secret", address, 8188)};
}

TunnelCodec::ReadState readFrom(QByteArray bytes, PeerFrame &frame, QByteArray &rest)
{
    QBuffer buffer(&bytes);
    buffer.open(QIODevice::ReadOnly);
    const TunnelCodec::ReadState state = TunnelCodec::readFrame(buffer, frame);
    rest = buffer.readAll();
    return state;
}

} // namespace

Test(tunnel_codec, reads_a_frame_and_leaves_the_bytes_behind_it)
{
    const TunnelRequest sent = sampleRequest();
    PeerFrame frame;
    QByteArray rest;
    cr_assert(readFrom(TunnelCodec::encodeRequest(sent) + "HTTP", frame, rest)
              == TunnelCodec::ReadState::Complete);
    cr_assert(rest == "HTTP");
    const auto received = TunnelCodec::decodeRequest(frame);
    cr_assert(received);
    cr_assert(received->address == sent.address);
    cr_assert_eq(received->port, sent.port);
    cr_assert(received->proof == sent.proof);
    cr_assert_not(TunnelCodec::decodeReply(frame), "it is of another kind");
}

Test(tunnel_codec, reads_nothing_of_an_incomplete_frame)
{
    const QByteArray whole = TunnelCodec::encodeReply(TunnelStatus::Silent);
    for (qsizetype size = 0; size < whole.size(); ++size) {
        PeerFrame frame;
        QByteArray rest;
        cr_assert(readFrom(whole.left(size), frame, rest) == TunnelCodec::ReadState::Incomplete);
        cr_assert_eq(rest.size(), size);
    }
}

Test(tunnel_codec, survives_damaged_frames)
{
    constexpr int damagedFrames = 20000;
    const QByteArray request = TunnelCodec::encodeRequest(sampleRequest());
    const QByteArray reply = TunnelCodec::encodeReply(TunnelStatus::Connected);
    MutatedBytes mutation(1);
    for (int number = 0; number < damagedFrames; ++number) {
        PeerFrame frame;
        QByteArray rest;
        const QByteArray &original = number % 2 == 0 ? request : reply;
        readFrom(mutation.damaged(original, number % 2 == 0 ? reply : request), frame, rest);
        if (const auto decoded = TunnelCodec::decodeRequest(frame))
            cr_assert(!decoded->address.isNull() && decoded->port != 0);
        std::ignore = TunnelCodec::decodeReply(frame);
    }
}

Test(tunnel_codec, proof_depends_on_the_secret_the_address_and_the_port)
{
    const QHostAddress address(QStringLiteral("10.1.2.3"));
    const QByteArray proof = TunnelRequest::proofFor("secret", address, 8188);
    cr_assert(proof != TunnelRequest::proofFor("other", address, 8188));
    cr_assert(proof != TunnelRequest::proofFor("secret", address, 8189));
    cr_assert(proof
              != TunnelRequest::proofFor("secret", QHostAddress(QStringLiteral("10.1.2.4")), 8188));
}
