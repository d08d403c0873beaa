#include "store/StoreFaults.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

namespace lacewingmux {

StoreFaults StoreFaults::fromJson(const QJsonObject &object)
{
    StoreFaults updated;
    for (auto field = object.begin(); field != object.end(); ++field) {
        if (field.key() == QLatin1String("down") && field->isBool())
            updated.down = field->toBool();
        else if (field.key() == QLatin1String("closed") && field->isBool())
            updated.closed = field->toBool();
        else if (field.key() == QLatin1String("hanging") && field->isBool())
            updated.hanging = field->toBool();
        else if (field.key() == QLatin1String("delayMs") && field->toInt(-1) >= 0)
            updated.delay = std::chrono::milliseconds(field->toInt());
        else if (field.key() == QLatin1String("loseWriteReplies") && field->toInt(-1) >= 0)
            updated.loseWriteReplies = field->toInt();
        else
            throw LacewingmuxError(
                    ErrorKind::MalformedRequest,
                    QStringLiteral("unknown or ill-typed field \"%1\"").arg(field.key()));
    }
    return updated;
}

QJsonObject StoreFaults::toJson() const
{
    return {{QStringLiteral("down"), this->down},
            {QStringLiteral("closed"), this->closed},
            {QStringLiteral("hanging"), this->hanging},
            {QStringLiteral("delayMs"), static_cast<qint64>(this->delay.count())},
            {QStringLiteral("loseWriteReplies"), this->loseWriteReplies}};
}

} // namespace lacewingmux
