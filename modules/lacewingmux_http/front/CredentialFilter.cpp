#include "lacewingmux_http/front/CredentialFilter.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"

#include <QList>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace lacewingmux {

namespace {

/** Shorter texts occur by chance; they are looked for as whole values only. */
constexpr qsizetype shortestContainedKey = 8;

constexpr std::array credentialHeaders{"authorization", "x-api-key", "api-key",
                                       "proxy-authorization"};
constexpr std::array credentialParameters{"api_key", "key", "apikey", "access_token"};

/** One "name=value" of a query, as it came and decoded. */
struct QueryParameter
{
    QByteArray raw;
    QByteArray name;
    QByteArray value;
};

QByteArray decoded(QByteArray text)
{
    text.replace('+', ' ');
    return QByteArray::fromPercentEncoding(text);
}

std::vector<QueryParameter> parseQuery(const QByteArray &query)
{
    std::vector<QueryParameter> parameters;
    for (const QByteArray &raw : query.split('&')) {
        const qsizetype equals = raw.indexOf('=');
        const QByteArray name = equals < 0 ? raw : raw.left(equals);
        const QByteArray value = equals < 0 ? QByteArray() : raw.mid(equals + 1);
        if (!raw.isEmpty())
            parameters.push_back({raw, decoded(name), decoded(value)});
    }
    return parameters;
}

template <typename Names>
bool isOneOf(const QByteArray &name, const Names &names)
{
    return std::any_of(names.begin(), names.end(), [&name](const char *candidate) {
        return name.trimmed().compare(candidate, Qt::CaseInsensitive) == 0;
    });
}

bool containsKey(const QByteArray &text, const std::vector<QByteArray> &keys)
{
    const bool encoded = text.contains('%') || text.contains('+');
    return std::any_of(keys.begin(), keys.end(), [&text, encoded](const QByteArray &key) {
        if (key.size() < shortestContainedKey)
            return text == key;
        if (text.contains(key))
            return true;
        return encoded
               && (QByteArray::fromPercentEncoding(text).contains(key)
                   || decoded(text).contains(key));
    });
}

QByteArray bearerToken(const QByteArray &authorization)
{
    constexpr qsizetype schemeLength = 7;
    if (authorization.left(schemeLength).compare("Bearer ", Qt::CaseInsensitive) != 0)
        return {};
    return authorization.mid(schemeLength).trimmed();
}

/** Returns every presented key, the one that counts first. */
std::vector<QByteArray> presentedKeys(const CallerRequest &request,
                                      const std::vector<QueryParameter> &parameters)
{
    std::vector<QByteArray> keys;
    const auto add = [&keys](const QByteArray &key) {
        if (!key.isEmpty())
            keys.push_back(key);
    };
    for (const HttpHeader &header : request.headers) {
        if (header.name.compare("authorization", Qt::CaseInsensitive) == 0)
            add(bearerToken(header.value.trimmed()));
    }
    for (const HttpHeader &header : request.headers) {
        if (header.name.compare("x-api-key", Qt::CaseInsensitive) == 0)
            add(header.value.trimmed());
    }
    for (const char *name : {"api_key", "key"}) {
        for (const QueryParameter &parameter : parameters) {
            if (parameter.name == name)
                add(parameter.value);
        }
    }
    return keys;
}

void refuseKeyElsewhere(const CallerRequest &request, const std::vector<QByteArray> &keys)
{
    for (const QByteArray &key : keys) {
        if (key.size() < shortestContainedKey)
            continue;
        if (containsKey(request.path, {key}) || request.body.contains(key))
            throw LacewingmuxError(ErrorKind::MalformedRequest,
                                   QStringLiteral("the path or the body contains the key"));
    }
}

} // namespace

FilteredRequest filterCredentials(CallerRequest request)
{
    const std::vector<QueryParameter> parameters = parseQuery(request.query);
    const std::vector<QByteArray> keys = presentedKeys(request, parameters);
    refuseKeyElsewhere(request, keys);

    std::erase_if(request.headers, [&keys](const HttpHeader &header) {
        return isOneOf(header.name, credentialHeaders) || containsKey(header.name, keys)
               || containsKey(header.value, keys);
    });
    QByteArrayList kept;
    for (const QueryParameter &parameter : parameters) {
        if (!isOneOf(parameter.name, credentialParameters) && !containsKey(parameter.name, keys)
            && !containsKey(parameter.value, keys))
            kept.push_back(parameter.raw);
    }
    request.query = kept.join('&');
    return {keys.empty() ? QByteArray() : keys.front(), std::move(request)};
}

} // namespace lacewingmux
