#include "lacewingmux_gateway/replicas/ExchangeFailure.h"

namespace lacewingmux {

const char *describe(ExchangeFailure failure)
{
    switch (failure) {
    case ExchangeFailure::NotConnected:
        return "no connection to the replica came about";
    case ExchangeFailure::Closed:
        return "the replica closed the connection";
    case ExchangeFailure::Malformed:
        return "the replica's answer is unreadable";
    case ExchangeFailure::Unattributed:
        return "the replica's answer may be one to an earlier request";
    case ExchangeFailure::OtherResponse:
        return "another answer follows within the replica's answer";
    case ExchangeFailure::OutOfSequence:
        return "an event of the replica's stream does not follow those before it";
    case ExchangeFailure::Unreachable:
        return "the replica can't be reached any more";
    case ExchangeFailure::TunnelFailed:
        return "another VM opened no tunnel to the replica";
    case ExchangeFailure::TunnelLost:
        return "the VM of the tunnel to the replica can't be reached any more";
    }
    return "the replica failed";
}

} // namespace lacewingmux
