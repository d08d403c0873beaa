#include "lacewingmux_config/records/RevisionedRecord.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>

namespace lacewingmux {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::system_clock;

QJsonObject versionJson(const RecordVersion &version)
{
    return {{QStringLiteral("revision"), static_cast<qint64>(version.revision)},
            {QStringLiteral("writeId"), version.writeId}};
}

RecordVersion versionOf(const QJsonObject &object)
{
    const qint64 revision = object.value(QLatin1String("revision")).toInteger();
    return {static_cast<std::uint64_t>(std::max<qint64>(0, revision)),
            object.value(QLatin1String("writeId")).toString()};
}

} // namespace

RevisionedRecord RevisionedRecord::next(const QJsonObject &newDocument, const QString &newWriteId,
                                        const QString &newAuthor,
                                        system_clock::time_point now) const
{
    RevisionedRecord following;
    following.revision = this->revision + 1;
    following.writeId = newWriteId;
    following.author = newAuthor;
    following.writtenAt = now;
    following.document = newDocument;
    if (this->revision == 0)
        return following;
    following.history.push_back({this->revision, this->writeId});
    following.history.insert(following.history.end(), this->history.begin(), this->history.end());
    if (following.history.size() > historyLength)
        following.history.resize(historyLength);
    return following;
}

std::optional<std::uint64_t> RevisionedRecord::revisionOf(const QString &id) const
{
    if (this->writeId == id)
        return this->revision;
    for (const RecordVersion &version : this->history) {
        if (version.writeId == id)
            return version.revision;
    }
    return std::nullopt;
}

QByteArray RevisionedRecord::serialize() const
{
    QJsonArray versions;
    for (const RecordVersion &version : this->history)
        versions.append(versionJson(version));
    QJsonObject object = versionJson({this->revision, this->writeId});
    object.insert(QStringLiteral("author"), this->author);
    object.insert(QStringLiteral("writtenAtMs"),
                  static_cast<qint64>(
                          duration_cast<milliseconds>(this->writtenAt.time_since_epoch()).count()));
    object.insert(QStringLiteral("history"), versions);
    object.insert(QStringLiteral("document"), this->document);
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

std::optional<RevisionedRecord> RevisionedRecord::parse(const QByteArray &bytes)
{
    const QJsonObject object = QJsonDocument::fromJson(bytes).object();
    const RecordVersion version = versionOf(object);
    if (version.revision == 0 || !object.value(QLatin1String("document")).isObject())
        return std::nullopt;
    RevisionedRecord record;
    record.revision = version.revision;
    record.writeId = version.writeId;
    record.author = object.value(QLatin1String("author")).toString();
    constexpr qint64 latest = 8'000'000'000'000; // in the year 2223; later times overflow
    record.writtenAt = system_clock::time_point(milliseconds(
            std::clamp<qint64>(object.value(QLatin1String("writtenAtMs")).toInteger(), 0, latest)));
    for (const QJsonValue entry : object.value(QLatin1String("history")).toArray())
        record.history.push_back(versionOf(entry.toObject()));
    record.document = object.value(QLatin1String("document")).toObject();
    return record;
}

} // namespace lacewingmux
