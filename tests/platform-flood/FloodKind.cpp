#include "FloodKind.h"

#include <random>

namespace lacewingmux::flood {

namespace {

using std::chrono::milliseconds;
using Route = FloodKind::Route;

constexpr qsizetype blockBytes = qsizetype{256} * 1024;
// The gateway buffers plain answers of at most 8 MiB.
constexpr qsizetype longAnswerBytes = qsizetype{15} * 512 * 1024;

const QByteArray chunked = "Transfer-Encoding: chunked\r\n";
const QByteArray plainType = "Content-Type: text/plain\r\n";
const QByteArray streamType = "Content-Type: text/event-stream\r\n";

QByteArray headOf(const QByteArray &requestId, const QByteArray &fields)
{
    return "HTTP/1.1 200 OK\r\nLacewingmux-Request-Id: " + requestId
           + "\r\nLacewingmux-Server-Load: 1,0,64\r\nLacewingmux-Server-Stamp: st.1.1\r\n"
             "Keep-Alive: timeout=20\r\n"
           + fields + "\r\n";
}

QByteArray ownHead(const QByteArray &fields)
{
    return headOf("%ID%", fields);
}

QByteArray chunk(const QByteArray &text)
{
    return QByteArray::number(text.size(), 16) + "\r\n" + text + "\r\n";
}

QByteArray garbage(std::uint32_t seed)
{
    std::mt19937 random(seed);
    std::uniform_int_distribution<int> byte(0, 255);
    QByteArray bytes;
    for (int index = 0; index < 4096; ++index)
        bytes += static_cast<char>(byte(random));
    return bytes;
}

std::vector<FloodKind> answersToOthers()
{
    return {{"others-empty", Route::Stream, {}, headOf("other", "Content-Length: 0\r\n")},
            {"others-byte", Route::Stream, {}, headOf("other", "Content-Length: 1\r\n") + 'x'},
            {"own-empty", Route::Plain, {}, headOf("%ID%", "Content-Length: 0\r\n")}};
}

std::vector<FloodKind> bodies()
{
    const QByteArray chunks = ownHead(plainType + chunked);
    return {{"chunks", Route::Plain, chunks, chunk("x")},
            {"chunk-extensions", Route::Plain, chunks, "1;a=b\r\nx\r\n"},
            {"until-close", Route::Plain, ownHead(plainType), "x"},
            {"length", Route::Plain, ownHead(plainType + "Content-Length: 99999999999\r\n"), "x"},
            {"status-lines", Route::Plain, ownHead(plainType), "HTTP/1.1 200 OK\r\n"},
            {"chunk-extension", Route::Plain, chunks + "1;a=", "x"},
            {"trailer", Route::Plain, chunks + chunk("x") + "0\r\n", "X-A: b\r\n"}};
}

std::vector<FloodKind> streams()
{
    const QByteArray chunks = ownHead(streamType + chunked);
    return {{"comments", Route::Stream, chunks, ": x\n", true},
            {"turn-comments", Route::Turn, chunks, ": x\n", true},
            {"empty-lines", Route::Stream, chunks, "\n", true},
            {"empty-line-chunks", Route::Stream, chunks, chunk("\n")},
            {"retry-fields", Route::Stream, chunks, "retry: 1\n", true},
            {"one-event", Route::Stream, ownHead(streamType) + "data: ", "x"}};
}

std::vector<FloodKind> heads(std::uint32_t seed)
{
    const QByteArray statusLine = "HTTP/1.1 200 OK\r\n";
    return {{"head", Route::Plain, statusLine + "X-A: ", "x"},
            {"fields", Route::Plain, statusLine, "X-A: b\r\n"},
            {"informational", Route::Plain, {}, "HTTP/1.1 102 Processing\r\n\r\n"},
            {"head-status-lines", Route::Plain, {}, statusLine},
            {"garbage", Route::Plain, {}, garbage(seed)},
            {"line-ends", Route::Plain, {}, "\r\n"}};
}

QByteArray eventChunk(int number)
{
    return chunk("id: " + QByteArray::number(number) + "\ndata: token\n\n");
}

FloodKind keepAlive()
{
    FloodKind kind{"sound-keep-alive", Route::Stream, ownHead(streamType + chunked)};
    for (int number = 1; number <= 3; ++number)
        kind.parts.push_back({milliseconds(1000), chunk(": keep-alive\n\n")});
    kind.parts.push_back({milliseconds(100), eventChunk(1) + "0\r\n\r\n"});
    return kind;
}

FloodKind tokens()
{
    constexpr int tokenCount = 60;
    FloodKind kind{"sound-tokens", Route::Stream, ownHead(streamType + chunked)};
    for (int number = 1; number <= tokenCount; ++number)
        kind.parts.push_back({milliseconds(20), eventChunk(number)});
    kind.parts.back().text += "0\r\n\r\n";
    return kind;
}

FloodKind longAnswer()
{
    FloodKind kind{
            "sound-long-answer", Route::Plain,
            ownHead(plainType + "Content-Length: " + QByteArray::number(longAnswerBytes) + "\r\n")};
    kind.parts.push_back({milliseconds(0), QByteArray(longAnswerBytes, 'x')});
    kind.callers = 1;
    return kind;
}

FloodKind lateAnswers()
{
    const QByteArray answer = ownHead(plainType + "Content-Length: 5\r\n") + "done\n";
    FloodKind kind{"sound-late-answers", Route::Plain, answer};
    kind.parts = {{milliseconds(150), answer}, {milliseconds(150), answer}};
    return kind;
}

} // namespace

QByteArray FloodKind::block() const
{
    const QByteArray text = this->piece.repeated(blockBytes / this->piece.size());
    return this->isInChunks ? chunk(text) : text;
}

QByteArray FloodKind::path() const
{
    switch (this->route) {
    case Route::Stream:
        return "/ask/x";
    case Route::Turn:
        return "/chat/x";
    case Route::Plain:
        break;
    }
    return "/fetch/x";
}

std::vector<FloodKind> FloodKind::all(std::uint32_t seed)
{
    std::vector<FloodKind> kinds;
    for (const auto &group : {answersToOthers(), bodies(), streams(), heads(seed)})
        kinds.insert(kinds.end(), group.begin(), group.end());
    for (const auto &kind : {keepAlive(), tokens(), longAnswer(), lateAnswers()})
        kinds.push_back(kind);
    return kinds;
}

} // namespace lacewingmux::flood
