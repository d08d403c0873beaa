#pragma once

/*
 * Module lacewingmux_platform
 *
 * The platform's key-value store as the system sees it: compare-and-swap, leases and watches,
 * its HTTP client and the budget of calls that each daemon keeps to.
 *
 * Depends on: lacewingmux_core, Qt Network.
 */

#include "lacewingmux_platform/client/CallBudget.h"
#include "lacewingmux_platform/client/HttpPlatformStore.h"
#include "lacewingmux_platform/client/JitteredBackoff.h"
#include "lacewingmux_platform/client/PlatformStoreSettings.h"
#include "lacewingmux_platform/etcd/EtcdJson.h"
#include "lacewingmux_platform/etcd/EtcdPaths.h"
#include "lacewingmux_platform/memory/InMemoryPlatformStore.h"
#include "lacewingmux_platform/memory/InMemoryStoreServer.h"
#include "lacewingmux_platform/memory/KeyValueEvent.h"
#include "lacewingmux_platform/memory/KeyValueTable.h"
#include "lacewingmux_platform/memory/KeyValueWrite.h"
#include "lacewingmux_platform/store/CompareAndSwapResult.h"
#include "lacewingmux_platform/store/KeyRange.h"
#include "lacewingmux_platform/store/PlatformStore.h"
#include "lacewingmux_platform/store/StoreRecord.h"
#include "lacewingmux_platform/update/RecordUpdate.h"
