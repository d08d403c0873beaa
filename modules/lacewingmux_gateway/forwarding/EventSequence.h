#pragma once

#include <QByteArrayView>

#include <cstdint>
#include <optional>

namespace lacewingmux {

/**
    Checks that the events of one stream follow each other, also where another replica resumes it.

    Ids that are decimal numbers must ascend. If they have counted up by one so far, a replica that
    resumes the stream must go on with the next number. If one id alone is known, the first two
    events of that replica show whether it has left a gap. Other ids are not compared.
*/
class EventSequence
{
public:
    /** Expects the next event from a replica that resumes the stream. */
    void resume() noexcept
    {
        this->resuming = true;
    }

    /** Returns whether an event with this id may come next, and records it if so. The id is empty
        if the event has none. */
    [[nodiscard]] bool accept(QByteArrayView id);

    /** Tells whether the id of the event behind it shows whether an event with this id may come
        next. */
    [[nodiscard]] bool dependsOnNext(QByteArrayView id) const;

    /** As accept(), for an event with the given event behind it. */
    [[nodiscard]] bool acceptBefore(QByteArrayView id, QByteArrayView nextId);

private:
    std::optional<std::int64_t> last; ///< of the ids that are numbers
    std::optional<bool> countsByOne;  ///< all of them so far; nothing before the second one
    bool resuming = false;
};

} // namespace lacewingmux
