#pragma once

namespace lacewingmux {

/** The paths of the etcd v3 JSON gateway that the store client calls. */
struct EtcdPaths
{
    static constexpr const char *range = "/v3/kv/range";
    static constexpr const char *transaction = "/v3/kv/txn";
    static constexpr const char *leaseGrant = "/v3/lease/grant";
    static constexpr const char *leaseKeepAlive = "/v3/lease/keepalive";
    static constexpr const char *watch = "/v3/watch";
};

} // namespace lacewingmux
