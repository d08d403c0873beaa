#pragma once

#include <QString>

#include <cstdint>

namespace lacewingmux {

struct StreamEvent;

/** What to do with an event of an engine's stream. */
enum class EventVerdict : std::uint8_t {
    Accept,  ///< it follows the events that were accepted
    Skip,    ///< it was accepted before
    Unusable ///< neither it nor what follows it in the same answer belongs to the stream
};

/** Decides which events of the answers that carry one stream follow each other. */
class StreamSequence
{
public:
    /** Decides about the next event of an answer. The answer resumes the stream if it is not the
        first one. */
    [[nodiscard]] EventVerdict accept(const StreamEvent &event, bool isResumed);

    /** Returns the number of the first event that is missing; 0 if the events have no numbers. */
    [[nodiscard]] std::int64_t nextNumber() const noexcept
    {
        return this->next;
    }

private:
    [[nodiscard]] bool isOfOtherCompletion(const StreamEvent &event, bool isResumed);

    std::int64_t next = 0;
    QString completionId;  ///< of the first event that has one
    bool idVaries = false; ///< the engine gives the events of one answer different ids
};

} // namespace lacewingmux
