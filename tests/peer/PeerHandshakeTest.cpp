#include "lacewingmux_peer/handshake/PeerHandshake.h"
#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_peer/messages/peer_generated.h"

#include <criterion/criterion.h>

#include <functional>

using namespace lacewingmux;

namespace {

using Role = PeerHandshake::Role;

PeerHandshake end(Role role, const char *secret, const char *fleet = "co-centro",
                  PeerChannel channel = PeerChannel::Control)
{
    const VmIncarnation own{role == Role::Dialler ? QStringLiteral("vm-1") : QStringLiteral("vm-2"),
                            QStringLiteral("zone-a"), 5};
    return {role, QString::fromLatin1(fleet), own, channel, secret, PeerHandshake::makeNonce()};
}

bool isRefused(const std::function<void()> &step)
{
    try {
        step();
    } catch (const LacewingmuxError &error) {
        return error.kind() == ErrorKind::ProtocolViolation;
    }
    return false;
}

} // namespace

Test(PeerHandshake, provesBothEndsToEachOther)
{
    PeerHandshake dialler = end(Role::Dialler, "secret");
    PeerHandshake acceptor = end(Role::Acceptor, "secret");
    dialler.receiveHello(acceptor.hello());
    acceptor.receiveHello(dialler.hello());
    dialler.receiveProof(acceptor.proof());
    acceptor.receiveProof(dialler.proof());
    cr_assert(acceptor.peer().vm == QLatin1String("vm-1"));
    cr_assert_eq(acceptor.peer().incarnation, 5);
}

Test(PeerHandshake, refusesAnotherSecretFleetOrChannel)
{
    PeerHandshake dialler = end(Role::Dialler, "secret");
    PeerHandshake stranger = end(Role::Acceptor, "guess");
    dialler.receiveHello(stranger.hello());
    stranger.receiveHello(dialler.hello());
    cr_assert(isRefused([&] { dialler.receiveProof(stranger.proof()); }));

    const PeerHandshake otherFleet = end(Role::Acceptor, "secret", "gh-south");
    const PeerHandshake otherChannel =
            end(Role::Acceptor, "secret", "co-centro", PeerChannel::Traffic);
    for (const PeerHandshake *other : {&otherFleet, &otherChannel})
        cr_assert(isRefused([&] { end(Role::Dialler, "secret").receiveHello(other->hello()); }));
}

Test(PeerHandshake, refusesAProofSentBackOrReplayed)
{
    PeerHandshake dialler = end(Role::Dialler, "secret");
    PeerHandshake acceptor = end(Role::Acceptor, "secret");
    dialler.receiveHello(acceptor.hello());
    acceptor.receiveHello(dialler.hello());
    cr_assert(isRefused([&] { dialler.receiveProof(dialler.proof()); }));

    PeerHandshake nextAcceptor = end(Role::Acceptor, "secret");
    nextAcceptor.receiveHello(dialler.hello());
    cr_assert(isRefused([&] { nextAcceptor.receiveProof(dialler.proof()); }),
              "a proof of an earlier link must not fit the nonce of a later one");
}

Test(PeerHandshake, refusesAnotherProtocolVersionAndDamagedHellos)
{
    PeerHandshake acceptor = end(Role::Acceptor, "secret");
    flatbuffers::FlatBufferBuilder builder;
    const std::vector<std::uint8_t> nonce(32, 1);
    builder.Finish(fb::CreateHelloDirect(builder, peerProtocolVersion + 1, "co-centro", "zone-a",
                                         "vm-1", 5, 1, &nonce));
    const QByteArray hello(reinterpret_cast<const char *>(builder.GetBufferPointer()),
                           static_cast<qsizetype>(builder.GetSize()));
    cr_assert(isRefused([&] { acceptor.receiveHello(hello); }));
    cr_assert(isRefused([&] { acceptor.receiveHello(hello.left(hello.size() / 2)); }));
    cr_assert(isRefused([&] { acceptor.receiveHello({}); }));
    cr_assert(isRefused([&] { acceptor.receiveProof({}); }), "proof before hello");
}
