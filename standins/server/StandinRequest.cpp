#include "server/StandinRequest.h"

#include <QJsonDocument>

#include <algorithm>

namespace lacewingmux::standin {

QByteArray StandinRequest::header(const QByteArray &name) const
{
    const auto found =
            std::find_if(this->headers.begin(), this->headers.end(), [&name](const auto &field) {
                return field.first.compare(name, Qt::CaseInsensitive) == 0;
            });
    return found == this->headers.end() ? QByteArray() : found->second;
}

QJsonObject StandinRequest::json() const
{
    return QJsonDocument::fromJson(this->body).object();
}

QString StandinRequest::requestId() const
{
    const QByteArray key = this->header("Idempotency-Key");
    return QString::fromUtf8(key.isEmpty() ? this->header("Lacewingmux-Request-Id") : key);
}

} // namespace lacewingmux::standin
