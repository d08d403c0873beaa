#pragma once

#include "lacewingmux_core/protection/Quarantine.h"
#include "lacewingmux_scheduling/queue/WorkQueue.h"
#include "lacewingmux_scheduling/replicas/PrefixDirectory.h"
#include "lacewingmux_scheduling/replicas/ReplicaChooser.h"

#include <QString>

#include <chrono>
#include <cstdint>
#include <random>
#include <vector>

namespace lacewingmux {

/** A queue filled with the calls of many programs of many teams. Each decision takes the next call
    and adds another, so the size stays constant. */
class QueueFixture
{
public:
    QueueFixture(std::int64_t programs, std::int64_t teams)
    {
        for (std::int64_t team = 0; team < teams; ++team)
            this->teamNames.push_back(QStringLiteral("team-%1").arg(team));
        for (std::int64_t program = 0; program < programs; ++program)
            this->add();
    }

    void decide()
    {
        this->queue.take(this->queue.next()->id);
        this->add();
    }

private:
    void add()
    {
        WorkItem item;
        item.id = ++this->lastId;
        item.team = this->teamNames[this->random() % this->teamNames.size()];
        item.attainedTokens = static_cast<std::int64_t>(this->random() % 100000);
        item.expectedTokens = 500;
        this->now += std::chrono::milliseconds(1);
        this->queue.push(item, this->now);
    }

    std::mt19937_64 random{1};
    std::vector<QString> teamNames;
    WorkQueue queue;
    TimerService::SteadyTime now{std::chrono::hours(1)};
    std::uint64_t lastId = 0;
};

/** A pool of partly loaded replicas. Each decision chooses one for a program whose prefix location
    is known, then records the start and the end of the call. */
class ChooserFixture
{
public:
    explicit ChooserFixture(std::int64_t replicas)
    {
        for (std::int64_t index = 0; index < replicas; ++index) {
            this->names.push_back(QStringLiteral("replica-%1").arg(index));
            this->chooser.setReplica({this->names.back(), 16});
            this->chooser.reportLoad(this->names.back(),
                                     {static_cast<int>(this->random() % 12), this->now});
        }
    }

    void decide()
    {
        this->now += std::chrono::milliseconds(1);
        ChoiceRequest request;
        request.prefixTokens = 4000;
        request.prefix = PrefixLocation{this->names[this->random() % this->names.size()], 4000, 1};
        const auto choice = this->chooser.choose(request, this->random);
        this->chooser.started(choice->replica, this->now);
        this->chooser.finished(choice->replica, this->now);
    }

private:
    std::mt19937_64 random{1};
    ReplicaChooser chooser;
    std::vector<QString> names;
    TimerService::SteadyTime now{std::chrono::hours(1)};
};

/** A quarantine with many recorded contents. Each decision looks up one of twice as many digests,
    recorded or not. */
class QuarantineFixture
{
public:
    explicit QuarantineFixture(std::int64_t contents)
        : quarantine(settingsFor(contents))
    {
        for (std::int64_t index = 0; index < 2 * contents; ++index) {
            this->digests.push_back(QByteArray::number(static_cast<qlonglong>(index)));
            if (index < contents)
                this->quarantine.record({this->digests.back(), QStringLiteral("r#1")}, this->now);
        }
    }

    [[nodiscard]] QuarantineVerdict decide()
    {
        const QByteArray &digest = this->digests[this->random() % this->digests.size()];
        return this->quarantine.verdict(digest, this->now);
    }

private:
    static QuarantineSettings settingsFor(std::int64_t contents)
    {
        QuarantineSettings settings;
        settings.maximumEntries = static_cast<std::size_t>(contents) + 1;
        return settings;
    }

    std::mt19937_64 random{1};
    Quarantine quarantine;
    std::vector<QByteArray> digests;
    TimerService::SteadyTime now{std::chrono::hours(1)};
};

/** A directory with the prefixes of many programs. Each decision finds one and updates it. */
class DirectoryFixture
{
public:
    explicit DirectoryFixture(std::int64_t programs)
        : directory(static_cast<std::size_t>(programs))
    {
        for (std::int64_t index = 0; index < programs; ++index) {
            this->names.push_back(QStringLiteral("program-%1").arg(index));
            this->directory.served(this->names.back(), QStringLiteral("r"), 1000);
        }
    }

    void decide()
    {
        const QString &name = this->names[this->random() % this->names.size()];
        const auto found = this->directory.find(name);
        this->directory.served(name, found->replica, found->tokens + 1);
    }

private:
    std::mt19937_64 random{1};
    PrefixDirectory directory;
    std::vector<QString> names;
};

} // namespace lacewingmux
