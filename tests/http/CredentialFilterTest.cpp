#include "lacewingmux_http/front/CredentialFilter.h"

#include "lacewingmux_core/errors/LacewingmuxError.h"
#include "lacewingmux_http/front/ForwardedHeaders.h"

#include <criterion/criterion.h>

#include <random>

using namespace lacewingmux;

namespace {

constexpr unsigned firstSeed = 1;
constexpr unsigned lastSeed = 3000;

/** Makes random requests that carry a key in random places. */
class RequestMaker
{
public:
    explicit RequestMaker(unsigned seed)
        : random(seed)
        , key(this->text(12 + this->below(20)))
    { }

    [[nodiscard]] CallerRequest make()
    {
        CallerRequest request{"POST", "/v1/services/s/x", {}, {}, this->text(20)};
        const int headers = this->below(6);
        for (int index = 0; index < headers; ++index)
            request.headers.push_back(this->header());
        QByteArrayList query;
        const int parameters = this->below(6);
        for (int index = 0; index < parameters; ++index)
            query.push_back(this->parameter());
        request.query = query.join('&');
        this->present(request);
        return request;
    }

    [[nodiscard]] const QByteArray &presentedKey() const
    {
        return this->key;
    }

private:
    [[nodiscard]] int below(int bound)
    {
        return std::uniform_int_distribution<int>(0, bound - 1)(this->random);
    }

    [[nodiscard]] QByteArray text(int length)
    {
        static const QByteArray letters = "abcXYZ019-_.~+/=%& ";
        QByteArray made;
        for (int index = 0; index < length; ++index)
            made += letters[this->below(static_cast<int>(letters.size()) - 6)];
        return made;
    }

    /** Returns a text that holds the key in every third case, in varying disguise. */
    [[nodiscard]] QByteArray value()
    {
        switch (this->below(6)) {
        case 0:
            return this->text(3) + this->key + this->text(3);
        case 1:
            return this->key.toPercentEncoding({}, this->key.left(4));
        default:
            return this->text(10);
        }
    }

    [[nodiscard]] HttpHeader header()
    {
        static const QByteArrayList names{"Cookie",        "X-Own",     "Referer",
                                          "AUTHORIZATION", "X-Api-Key", "Proxy-Authorization"};
        return {names[this->below(static_cast<int>(names.size()))], this->value()};
    }

    [[nodiscard]] QByteArray parameter()
    {
        static const QByteArrayList names{"a", "key", "API_KEY", "api%5Fkey", "own"};
        return names[this->below(static_cast<int>(names.size()))] + '='
               + this->value().toPercentEncoding();
    }

    void present(CallerRequest &request)
    {
        switch (this->below(4)) {
        case 0:
            request.headers.insert(request.headers.begin(),
                                   {"authorization", "bearer " + this->key});
            break;
        case 1:
            request.headers.insert(request.headers.begin(), {"X-API-KEY", this->key});
            break;
        case 2:
            request.query = "api_key=" + this->key.toPercentEncoding() + '&' + request.query;
            break;
        default:
            request.query = "key=" + this->key.toPercentEncoding() + '&' + request.query;
            break;
        }
    }

    std::mt19937 random;
    QByteArray key;
};

} // namespace

Test(CredentialFilter, noKeyEverGoesOn)
{
    for (unsigned seed = firstSeed; seed <= lastSeed; ++seed) {
        RequestMaker maker(seed);
        const QByteArray key = maker.presentedKey();
        const FilteredRequest filtered = filterCredentials(maker.make());
        for (const HttpHeader &header : forwardedHeaders(filtered.request.headers)) {
            cr_assert_not(header.value.contains(key), "seed %u", seed);
            cr_assert_not(QByteArray::fromPercentEncoding(header.value).contains(key), "seed %u",
                          seed);
        }
        cr_assert_not(filtered.request.query.contains(key), "seed %u", seed);
        cr_assert_not(QByteArray::fromPercentEncoding(filtered.request.query).contains(key),
                      "seed %u", seed);
        cr_assert_not(filtered.presentedKey.isEmpty(), "seed %u", seed);
    }
}

Test(CredentialFilter, keepsWhatIsNoCredential)
{
    const FilteredRequest filtered = filterCredentials(
            {"GET", "/p", "a=1&key=0123456789&b=%20x", {{"X-Own", "v"}, {"X-Api-Key", "ab"}}, {}});
    cr_assert_eq(filtered.presentedKey, QByteArray("ab"));
    cr_assert_eq(filtered.request.query, QByteArray("a=1&b=%20x"));
    cr_assert(filtered.request.headers == std::vector<HttpHeader>({{"X-Own", "v"}}));
}

Test(CredentialFilter, refusesAKeyInThePathOrBody)
{
    const HttpHeader credential{"Authorization", "Bearer 0123456789"};
    cr_assert_throw((void)filterCredentials({"GET", "/p/0123456789", {}, {credential}, {}}),
                    LacewingmuxError);
    cr_assert_throw(
            (void)filterCredentials({"GET", "/p", {}, {credential}, "{\"k\":\"0123456789\"}"}),
            LacewingmuxError);
}
