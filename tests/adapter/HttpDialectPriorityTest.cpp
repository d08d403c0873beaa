#include "lacewingmux_gateway/http/HttpText.h"
#include "platform/HttpDialect.h"

#include <criterion/criterion.h>

using namespace lacewingmux;

namespace {

std::optional<std::chrono::milliseconds> programTimeLeft(const QByteArray &text)
{
    HttpRequest request;
    request.fields = {{"Lacewingmux-Program-Deadline-Ms", text}};
    return platformDialect().parseRequest(request).programTimeLeft;
}

} // namespace

Test(http_dialect, decodes_the_time_left_of_a_program)
{
    cr_assert_eq(programTimeLeft("5400")->count(), 5400);
    cr_assert_eq(programTimeLeft("0")->count(), 0);
    cr_assert_eq(programTimeLeft("-250")->count(), -250, "the target has passed");
    cr_assert_not(platformDialect().parseRequest({}).programTimeLeft.has_value());
}

// A number that is not understood must not be taken for a program without time, and a large one
// must not overflow in calculations with the clock.
Test(http_dialect, ignores_or_bounds_a_damaged_time_left)
{
    for (const char *text : {"", "soon", "12.5", "1e3", "99999999999999999999"})
        cr_assert_not(programTimeLeft(text).has_value(), "%s", text);
    cr_assert_eq(programTimeLeft("9223372036854775807")->count(), 86400000);
    cr_assert_eq(programTimeLeft("-9223372036854775808")->count(), -86400000);
}

// A caller that sets the priority itself would overtake all others.
Test(http_dialect, sends_only_the_priority_that_the_system_sets)
{
    HttpRequest request;
    request.fields = {{"Lacewingmux-Request-Priority", "0"}};
    const CallDialect dialect = platformDialect();
    const char *name = "Lacewingmux-Request-Priority";
    ReplicaRequestInfo info;
    cr_assert(fieldValue(dialect.fieldsForReplica(request, info), name).isNull());
    info.priority = 7;
    const HttpFields fields = dialect.fieldsForReplica(request, info);
    cr_assert(fieldValue(fields, name) == "7");
    cr_assert_eq(std::count_if(fields.begin(), fields.end(),
                               [name](const HttpField &field) {
                                   return sameFieldName(field.name, name);
                               }),
                 1);
}

Test(http_dialect, knows_a_stream_that_is_resumed)
{
    HttpRequest request;
    cr_assert_not(platformDialect().parseRequest(request).resumesStream());
    request.fields = {{"Last-Event-Id", "3"}};
    cr_assert(platformDialect().parseRequest(request).resumesStream());
}
