#include "support/StoreFixture.h"

namespace lacewingmux {

namespace {

using std::chrono::milliseconds;

} // namespace

StoreFixture::StoreFixture(const ScriptedReplica::Handler &handler)
    : server(handler)
{
    PlatformStoreSettings settings;
    QUrl url(QStringLiteral("http://127.0.0.1"));
    url.setPort(this->server.port());
    settings.endpoints = {url};
    settings.clientName = QStringLiteral("test");
    settings.callTimeout = milliseconds(300);
    settings.watchPaces["w/"] = {milliseconds(100), milliseconds(10)};
    settings.contactChanged = [this](bool reachable) { this->contact.push_back(reachable); };
    this->client = std::make_unique<StoreClient>(this->loop.timers, this->metrics, settings);
}

QByteArray StoreFixture::reply(int status, const QByteArray &body)
{
    return "HTTP/1.1 " + QByteArray::number(status)
           + " X\r\nContent-Type: application/json\r\nContent-Length: "
           + QByteArray::number(body.size()) + "\r\n\r\n" + body;
}

QByteArray StoreFixture::item(const QByteArray &key, const QByteArray &value, int revision)
{
    return R"({"key":")" + key + R"(","value":")" + value.toBase64() + R"(","rev":)"
           + QByteArray::number(revision) + R"(,"createdRev":1,"lease":0})";
}

QByteArray StoreFixture::listing(const QByteArray &items, int revision)
{
    return R"({"items":[)" + items + R"(],"hasMore":false,"storeRevision":)"
           + QByteArray::number(revision) + '}';
}

QByteArray StoreFixture::changes(const QByteArray &events, int revision)
{
    return R"({"events":[)" + events + R"(],"storeRevision":)" + QByteArray::number(revision) + '}';
}

} // namespace lacewingmux
