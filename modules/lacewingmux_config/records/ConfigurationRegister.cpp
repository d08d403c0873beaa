#include "lacewingmux_config/records/ConfigurationRegister.h"

#include "lacewingmux_keyvalue/store/PlatformStore.h"
#include "lacewingmux_keyvalue/update/RecordUpdate.h"

#include <QUuid>

#include <memory>

namespace lacewingmux {

namespace {

/** One application of a document, over all its attempts. */
struct Application
{
    std::uint64_t expectedRevision = 0;
    QJsonObject document;
    QString author;
    ConfigurationRegister::Time now;
    QString writeId;
    ConfigurationRegister::Result result;

    /** Returns the new value for the present one, or nothing when this write stands already. */
    std::optional<QByteArray> change(const QByteArray &value)
    {
        const std::optional<RevisionedRecord> current = RevisionedRecord::parse(value);
        const RevisionedRecord before = current.value_or(RevisionedRecord());
        this->result.current = current;
        this->result.revision = this->expectedRevision + 1;
        if (before.revisionOf(this->writeId))
            return std::nullopt;
        if (before.revision != this->expectedRevision)
            throw this->conflict(before);
        const QByteArray changed =
                before.next(this->document, this->writeId, this->author, this->now).serialize();
        if (changed.size() > ConfigurationRegister::valueLimitBytes) {
            throw LacewingmuxError(ErrorKind::ConfigurationInvalid,
                                   QStringLiteral("the document takes %1 bytes of at most %2")
                                           .arg(changed.size())
                                           .arg(ConfigurationRegister::valueLimitBytes));
        }
        return changed;
    }

    [[nodiscard]] LacewingmuxError conflict(const RevisionedRecord &present) const
    {
        return {ErrorKind::ConfigurationConflict,
                QStringLiteral("the change is for revision %1, but revision %2 stands, written by "
                               "%3")
                        .arg(this->expectedRevision)
                        .arg(present.revision)
                        .arg(present.author.isEmpty() ? QStringLiteral("nobody") : present.author)};
    }
};

} // namespace

ConfigurationRegister::ConfigurationRegister(PlatformStore &platformStore)
    : store(platformStore)
{ }

void ConfigurationRegister::read(ReadCallback callback)
{
    this->store.read(storeKey, [callback = std::move(callback)](const auto &records) {
        if (!records) {
            callback(std::nullopt);
            return;
        }
        std::optional<RevisionedRecord> record;
        if (!records->empty())
            record = RevisionedRecord::parse(records->front().value);
        callback(record.value_or(RevisionedRecord()));
    });
}

void ConfigurationRegister::apply(std::uint64_t expectedRevision, const QJsonObject &document,
                                  const QString &author, Time now, ApplyCallback callback)
{
    const auto application = std::make_shared<Application>();
    application->expectedRevision = expectedRevision;
    application->document = document;
    application->author = author;
    application->now = now;
    application->writeId = QUuid::createUuid().toString(QUuid::WithoutBraces);
    updateRecord(
            this->store, storeKey,
            [application](const QByteArray &value) { return application->change(value); },
            [application, callback = std::move(callback)](const auto &error) {
                application->result.error = error;
                callback(application->result);
            });
}

} // namespace lacewingmux
