#include "lacewingmux_gateway/replicas/ResponseAttribution.h"

#include <criterion/criterion.h>

using namespace lacewingmux;

Test(response_attribution, goes_by_the_id_that_the_response_names)
{
    for (const bool isSuccess : {false, true}) {
        for (const bool carriedEarlier : {false, true}) {
            cr_assert(attributeResponse("r1", "r1", isSuccess, carriedEarlier)
                      == ResponseAttribution::Own);
            cr_assert(attributeResponse("r1", "r2", isSuccess, carriedEarlier)
                      == ResponseAttribution::Other);
            cr_assert(attributeResponse("", "r2", isSuccess, carriedEarlier)
                      == ResponseAttribution::Other);
        }
    }
}

Test(response_attribution, of_a_failure_without_an_id_is_known_only_on_an_unused_connection)
{
    for (const char *requestId : {"r1", ""}) {
        cr_assert(attributeResponse(requestId, "", false, false) == ResponseAttribution::Own);
        cr_assert(attributeResponse(requestId, "", false, true) == ResponseAttribution::Unknown);
    }
}

Test(response_attribution, of_a_success_without_an_id_needs_a_request_without_one)
{
    cr_assert(attributeResponse("r1", "", true, false) == ResponseAttribution::Other);
    cr_assert(attributeResponse("r1", "", true, true) == ResponseAttribution::Other);
    cr_assert(attributeResponse("", "", true, false) == ResponseAttribution::Own);
    cr_assert(attributeResponse("", "", true, true) == ResponseAttribution::Unknown);
}
