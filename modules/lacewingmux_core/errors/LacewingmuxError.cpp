#include "lacewingmux_core/errors/LacewingmuxError.h"

#include "lacewingmux_core/errors/ErrorTable.h"

namespace lacewingmux {

LacewingmuxError::LacewingmuxError(ErrorKind kind, const QString &message, Executed executed)
    : LacewingmuxError(kind, message, executed, answerFor(kind).defaultRetryAfter)
{ }

LacewingmuxError::LacewingmuxError(ErrorKind kind, const QString &message, Executed executed,
                                   std::chrono::milliseconds retryAfter)
    : std::runtime_error(message.toStdString())
    , errorKind(kind)
    , executedState(executed)
    , comeBackAfter(retryAfter)
{ }

QString LacewingmuxError::message() const
{
    return QString::fromUtf8(this->what());
}

int LacewingmuxError::httpStatus() const noexcept
{
    return answerFor(this->errorKind).httpStatus;
}

QJsonObject LacewingmuxError::toJson() const
{
    const QJsonObject body{
            {QStringLiteral("kind"), QString::fromLatin1(answerFor(this->errorKind).name)},
            {QStringLiteral("message"), this->message()},
            {QStringLiteral("executed"), executedName(this->executedState)},
            {QStringLiteral("retryAfterMs"), static_cast<qint64>(this->comeBackAfter.count())}};
    return QJsonObject{{QStringLiteral("error"), body}};
}

QString executedName(Executed executed)
{
    switch (executed) {
    case Executed::No:
        return QStringLiteral("no");
    case Executed::Unknown:
        return QStringLiteral("unknown");
    case Executed::Yes:
        return QStringLiteral("yes");
    }
    return QStringLiteral("unknown");
}

} // namespace lacewingmux
