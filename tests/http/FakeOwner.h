#pragma once

#include "lacewingmux_program/requests/OwnerService.h"

#include <map>
#include <vector>

namespace lacewingmux::test {

/** An owner that keeps every request and sink, so that a test answers when it likes. */
class FakeOwner final : public OwnerService
{
public:
    struct Asked
    {
        OwnerRequest request;
        ResponseSink sink;
        bool callerGone = false;
    };

    OwnerRequestHandle handle(const OwnerRequest &request, ResponseSink sink) override
    {
        this->asked.push_back({request, std::move(sink)});
        const OwnerRequestHandle handle = this->asked.size();
        if (this->answerAtOnce)
            this->answerAtOnce(this->asked.back());
        return handle;
    }

    void callerGone(OwnerRequestHandle request) override
    {
        this->asked.at(request - 1).callerGone = true;
    }

    void withdrawKey(const QString &keyId) override
    {
        this->withdrawnKeys.push_back(keyId);
    }

    /** Answers a request whole. */
    void answer(std::size_t index, const QByteArray &body)
    {
        const ResponseSink sink = this->asked.at(index).sink;
        sink.begin(200, {{"Content-Type", "application/json"}});
        sink.chunk(body);
        sink.end();
    }

    std::vector<Asked> asked;
    std::vector<QString> withdrawnKeys;
    std::function<void(Asked &)> answerAtOnce;
};

} // namespace lacewingmux::test
