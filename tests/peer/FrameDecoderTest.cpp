#include "lacewingmux_peer/framing/FrameDecoder.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_peer/framing/FrameCodec.h"

#include <criterion/criterion.h>

#include <random>

using namespace lacewingmux;

namespace {

constexpr qsizetype testLimitBytes = 1024;

PeerFrame sampleFrame(std::uint64_t number, qsizetype payloadBytes)
{
    return {FrameKind::JournalAppend, 7, number, QByteArray(payloadBytes, 'x')};
}

/** Feeds bytes in pieces and returns the frames until the decoder wants more or refuses. */
std::vector<PeerFrame> decodeAll(FrameDecoder &decoder, const QByteArray &bytes, qsizetype piece,
                                 bool &refused)
{
    std::vector<PeerFrame> frames;
    refused = false;
    try {
        for (qsizetype start = 0; start < bytes.size(); start += piece) {
            decoder.append(bytes.mid(start, piece));
            while (const auto frame = decoder.next())
                frames.push_back(*frame);
        }
    } catch (const LacewingmuxError &error) {
        cr_assert(error.kind() == ErrorKind::ProtocolViolation);
        refused = true;
    }
    return frames;
}

} // namespace

Test(FrameDecoder, joinsFramesThatArriveInPieces)
{
    QByteArray bytes;
    for (qsizetype number = 0; number < 20; ++number)
        bytes += encodeFrame(sampleFrame(static_cast<std::uint64_t>(number), number * 7));
    for (const qsizetype piece : {1, 3, 64, 100000}) {
        FrameDecoder decoder(testLimitBytes);
        bool refused = false;
        const auto frames = decodeAll(decoder, bytes, piece, refused);
        cr_assert_not(refused);
        cr_assert_eq(frames.size(), 20);
        cr_assert_eq(frames[19].correlation, 19);
        cr_assert_eq(frames[19].payload.size(), 133);
    }
}

Test(FrameDecoder, refusesFramesOfBadLengthBeforeTheyArrive)
{
    for (const QByteArray &length :
         {QByteArray::fromHex("00000401"), QByteArray::fromHex("ffffffff"),
          QByteArray::fromHex("00000000")}) {
        FrameDecoder decoder(testLimitBytes);
        bool refused = false;
        cr_assert(decodeAll(decoder, length, 4, refused).empty());
        cr_assert(refused);
    }
}

Test(FrameDecoder, waitsForTheRestOfATruncatedFrame)
{
    const QByteArray whole = encodeFrame(sampleFrame(1, 100));
    for (qsizetype bytes = 0; bytes < whole.size(); ++bytes) {
        FrameDecoder decoder(testLimitBytes);
        bool refused = false;
        cr_assert(decodeAll(decoder, whole.left(bytes), 1000, refused).empty());
        cr_assert_not(refused);
    }
}

Test(FrameDecoder, survivesTwentyThousandMutatedFrames)
{
    constexpr unsigned seed = 20240611;
    constexpr int rounds = 20000;
    std::mt19937 random(seed);
    int refusals = 0;
    for (int round = 0; round < rounds; ++round) {
        QByteArray bytes = encodeFrame(sampleFrame(random(), random() % 200));
        const unsigned mutations = 1 + random() % 4;
        for (unsigned mutation = 0; mutation < mutations; ++mutation)
            bytes[static_cast<qsizetype>(random() % bytes.size())] = static_cast<char>(random());
        if (random() % 4 == 0)
            bytes.truncate(static_cast<qsizetype>(random() % bytes.size()));
        FrameDecoder decoder(testLimitBytes);
        bool refused = false;
        const auto frames = decodeAll(decoder, bytes, 1 + random() % 300, refused);
        refusals += refused ? 1 : 0;
        for (const PeerFrame &frame : frames)
            cr_assert_leq(frame.payload.size(), testLimitBytes, "seed %u round %d", seed, round);
    }
    cr_assert_gt(refusals, rounds / 20, "seed %u: mutations hardly reached the decoder", seed);
}
