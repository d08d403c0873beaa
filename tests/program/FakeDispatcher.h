#pragma once

#include "lacewingmux_program/dispatch/CallDispatcher.h"

#include <map>
#include <set>
#include <vector>

namespace lacewingmux {

/** A dispatcher that runs nothing: the test inspects and finishes the dispatched calls. */
class FakeDispatcher final : public CallDispatcher
{
public:
    struct Sent
    {
        DispatchHandle handle = 0;
        DispatchRequest request;
    };

    DispatchHandle dispatch(const DispatchRequest &request, DispatchListener listener) override
    {
        const DispatchHandle handle = this->nextHandle++;
        this->sent.push_back({handle, request});
        if (this->onDispatch)
            this->onDispatch(this->sent.back());
        this->open[handle] = std::move(listener);
        return handle;
    }

    void cancel(DispatchHandle call, ErrorKind reason) override
    {
        this->cancelled[call] = reason;
        if (!this->finishesWhenCancelled || !this->open.contains(call))
            return;
        DispatchResult result;
        result.error = reason;
        this->finish(call, result);
    }

    void programEnded(const QString &program) override
    {
        this->ended.push_back(program);
    }

    void programPaused(const QString & /*program*/, std::int64_t /*prefixTokens*/) override
    { }

    void finish(DispatchHandle call, const DispatchResult &result)
    {
        const auto node = this->open.extract(call);
        if (!node.empty())
            node.mapped().finished(result);
    }

    /** Finishes a call with an engine's response. */
    void answer(DispatchHandle call, const QByteArray &text, std::int64_t inputTokens = 10,
                std::int64_t outputTokens = 5)
    {
        DispatchResult result;
        result.completed = true;
        result.httpStatus = 200;
        result.body =
                R"({"choices":[{"message":{"role":"assistant","content":")" + text + R"("}}]})";
        result.inputTokens = inputTokens;
        result.outputTokens = outputTokens;
        result.replica = QStringLiteral("replica-1");
        result.zone = QStringLiteral("zone-a");
        this->finish(call, result);
    }

    void chunk(DispatchHandle call, const QByteArray &bytes)
    {
        this->open.at(call).chunk(bytes);
    }

    void confirm(const QString &program) const
    {
        this->confirmRelease(program);
    }

    std::function<void(const Sent &)> onDispatch;
    std::vector<Sent> sent;
    std::map<DispatchHandle, DispatchListener> open;
    std::map<DispatchHandle, ErrorKind> cancelled;
    std::vector<QString> ended;
    bool finishesWhenCancelled = true; ///< as a real dispatcher does with a queued call

private:
    DispatchHandle nextHandle = 1;
};

} // namespace lacewingmux
