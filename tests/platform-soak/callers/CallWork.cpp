#include "callers/CallWork.h"

namespace lacewingmux::soak {

QByteArray CallWork::requestText(const QByteArray &requestId) const
{
    const QByteArray paceText = QByteArray::number(static_cast<qint64>(this->pace.count()));
    QByteArray query = "work=" + paceText;
    if (isStream(this->kind))
        query = "events=" + QByteArray::number(this->events) + "&interval=" + paceText
                + (this->framing.isEmpty() ? QByteArray() : "&framing=" + this->framing)
                + (this->padding > 0 ? "&padding=" + QByteArray::number(this->padding) : "");
    const bool isGet = this->kind == CallKind::Repeatable;
    const QByteArray body = isGet ? QByteArray() : "input of " + requestId;
    QByteArray text = (isGet ? "GET /" : "POST /") + QByteArray(nameOf(this->kind)) + "/x?" + query
                      + " HTTP/1.1\r\nHost: soak.example\r\nLacewingmux-Request-Id: " + requestId
                      + "\r\nLacewingmux-Deadline-Ms: "
                      + QByteArray::number(static_cast<qint64>(this->deadline.count())) + "\r\n";
    if (this->kind == CallKind::Turn)
        text += "Lacewingmux-Program-Id: p" + requestId + "\r\nLacewingmux-Session-Id: s"
                + requestId + "\r\nLacewingmux-Token-Budget: 100000\r\n"
                + "Lacewingmux-Token-Usage: 100," + QByteArray::number(this->events * 14) + "\r\n";
    if (this->resumedAfter > 0)
        text += "Last-Event-Id: " + QByteArray::number(this->resumedAfter) + "\r\n";
    if (!isGet)
        text += "Content-Length: " + QByteArray::number(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

} // namespace lacewingmux::soak
