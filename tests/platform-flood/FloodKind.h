#pragma once

#include <QByteArray>

#include <chrono>
#include <cstdint>
#include <vector>

namespace lacewingmux::flood {

/** What a replica sends instead of an answer, or a sound answer that resembles it. */
struct FloodKind
{
    /** The route of the calls. */
    enum class Route : std::uint8_t {
        Stream, ///< of events, which may be resumed
        Turn,   ///< of events, which are kept as history
        Plain
    };
    /** Part of a sound answer. */
    struct Part
    {
        std::chrono::milliseconds pause{0}; ///< before it
        QByteArray text;
    };

    QByteArray name;
    Route route = Route::Stream;
    QByteArray opening = {};      ///< sent once; "%ID%" stands for the request's id
    QByteArray piece = {};        ///< repeated without end; empty for a sound answer
    bool isInChunks = false;      ///< each block of pieces is a chunk
    std::vector<Part> parts = {}; ///< of a sound answer, after the opening
    int callers = 12;

    [[nodiscard]] bool isSound() const
    {
        return this->piece.isEmpty();
    }

    /** Returns a block of 256 kB of the pieces. */
    [[nodiscard]] QByteArray block() const;

    /** Returns the path of the route's calls. */
    [[nodiscard]] QByteArray path() const;

    /** Returns all kinds; the seed determines the bytes of the kind "garbage". */
    [[nodiscard]] static std::vector<FloodKind> all(std::uint32_t seed);
};

} // namespace lacewingmux::flood
