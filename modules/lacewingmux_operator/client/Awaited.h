#pragma once

#include <QEventLoop>

#include <optional>
#include <utility>

namespace lacewingmux {

/** Lets a command of a terminal wait for the one call of a callback. */
template <typename Result>
class Awaited
{
public:
    /** The callback; to be called once. */
    void set(Result result)
    {
        this->value = std::move(result);
        this->loop.quit();
    }

    /** Runs the event loop until the callback was called, and returns what it was given. */
    [[nodiscard]] Result get()
    {
        while (!this->value)
            this->loop.exec();
        return *std::move(this->value);
    }

private:
    QEventLoop loop;
    std::optional<Result> value;
};

} // namespace lacewingmux
