#include "lacewingmux_config/keys/KeyRing.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QCryptographicHash>
#include <QJsonArray>

#include <algorithm>

namespace lacewingmux {

namespace {

bool equalInConstantTime(const QByteArray &left, const QByteArray &right)
{
    if (left.size() != right.size())
        return false;
    unsigned char difference = 0;
    for (qsizetype index = 0; index < left.size(); ++index)
        difference |= static_cast<unsigned char>(left[index] ^ right[index]);
    return difference == 0;
}

QJsonObject entryJson(const KeyEntry &entry)
{
    QJsonObject object{{QStringLiteral("id"), entry.keyId}, {QStringLiteral("team"), entry.team}};
    if (entry.withdrawn) {
        object.insert(QStringLiteral("withdrawn"), true);
        return object;
    }
    object.insert(QStringLiteral("salt"), QString::fromLatin1(entry.salt.toBase64()));
    object.insert(QStringLiteral("digest"), QString::fromLatin1(entry.digest.toBase64()));
    return object;
}

KeyEntry entryOf(const QJsonObject &object)
{
    KeyEntry entry;
    entry.keyId = object.value(QLatin1String("id")).toString();
    entry.team = object.value(QLatin1String("team")).toString();
    entry.withdrawn = object.value(QLatin1String("withdrawn")).toBool();
    entry.salt = QByteArray::fromBase64(object.value(QLatin1String("salt")).toString().toLatin1());
    entry.digest =
            QByteArray::fromBase64(object.value(QLatin1String("digest")).toString().toLatin1());
    const bool hasDigest = !entry.salt.isEmpty() && !entry.digest.isEmpty();
    if (entry.keyId.isEmpty() || entry.team.isEmpty() || (!entry.withdrawn && !hasDigest))
        throw LacewingmuxError(
                ErrorKind::ConfigurationInvalid,
                QStringLiteral("key \"%1\": expected id, team, salt and digest").arg(entry.keyId));
    return entry;
}

} // namespace

KeyRing::KeyRing(std::uint64_t revisionNumber, const QJsonObject &document)
    : ringRevision(revisionNumber)
{
    for (const QJsonValue value : document.value(QLatin1String("keys")).toArray()) {
        const KeyEntry entry = entryOf(value.toObject());
        this->keys.insert(entry.keyId, entry);
    }
}

KeyVerdict KeyRing::authenticate(const QByteArray &presentedKey) const
{
    const QByteArray prefix(textPrefix);
    const qsizetype dot = presentedKey.indexOf('.');
    if (!presentedKey.startsWith(prefix) || dot < 0)
        return {};
    const QString keyId = QString::fromLatin1(presentedKey.mid(prefix.size(), dot - prefix.size()));
    const auto found = this->keys.constFind(keyId);
    if (found == this->keys.constEnd())
        return {};
    if (found->withdrawn)
        return {KeyState::Withdrawn, found->team, keyId};
    if (!equalInConstantTime(digest(found->salt, presentedKey.mid(dot + 1)), found->digest))
        return {};
    return {KeyState::Accepted, found->team, keyId};
}

bool KeyRing::accepts(const QString &keyId) const
{
    const auto found = this->keys.constFind(keyId);
    return found != this->keys.constEnd() && !found->withdrawn;
}

std::vector<KeyEntry> KeyRing::entries() const
{
    std::vector<KeyEntry> sorted(this->keys.begin(), this->keys.end());
    std::sort(sorted.begin(), sorted.end(),
              [](const KeyEntry &left, const KeyEntry &right) { return left.keyId < right.keyId; });
    return sorted;
}

QStringList KeyRing::withdrawnSince(const KeyRing &earlier) const
{
    QStringList gone;
    for (const KeyEntry &entry : earlier.keys) {
        if (!entry.withdrawn && !this->accepts(entry.keyId))
            gone.append(entry.keyId);
    }
    gone.sort();
    return gone;
}

QJsonObject KeyRing::documentWith(const KeyEntry &added) const
{
    std::vector<KeyEntry> all = this->entries();
    all.push_back(added);
    return toDocument(all);
}

QJsonObject KeyRing::documentWithout(const QString &keyId) const
{
    std::vector<KeyEntry> all = this->entries();
    const auto found = std::find_if(all.begin(), all.end(), [&keyId](const KeyEntry &entry) {
        return entry.keyId == keyId;
    });
    if (found == all.end())
        throw LacewingmuxError(ErrorKind::ConfigurationInvalid,
                               QStringLiteral("there is no key \"%1\"").arg(keyId));
    found->withdrawn = true;
    found->salt.clear();
    found->digest.clear();
    return toDocument(all);
}

QByteArray KeyRing::digest(const QByteArray &salt, const QByteArray &secret)
{
    return QCryptographicHash::hash(salt + secret, QCryptographicHash::Sha256);
}

QJsonObject KeyRing::toDocument(const std::vector<KeyEntry> &entries)
{
    QJsonArray array;
    for (const KeyEntry &entry : entries)
        array.append(entryJson(entry));
    return {{QStringLiteral("keys"), array}};
}

} // namespace lacewingmux
