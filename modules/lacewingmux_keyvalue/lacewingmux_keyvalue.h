#pragma once

/*
 * Module lacewingmux_keyvalue
 *
 * The platform's key-value store as the system sees it: compare-and-swap, leases and watches,
 * its HTTP client and the budget of calls that each daemon keeps to.
 *
 * Depends on: lacewingmux_core, Qt Network.
 */

#include "lacewingmux_keyvalue/client/CallBudget.h"
#include "lacewingmux_keyvalue/client/HttpPlatformStore.h"
#include "lacewingmux_keyvalue/client/PlatformStoreSettings.h"
#include "lacewingmux_keyvalue/etcd/EtcdJson.h"
#include "lacewingmux_keyvalue/etcd/EtcdPaths.h"
#include "lacewingmux_keyvalue/memory/InMemoryPlatformStore.h"
#include "lacewingmux_keyvalue/memory/InMemoryStoreServer.h"
#include "lacewingmux_keyvalue/memory/KeyValueEvent.h"
#include "lacewingmux_keyvalue/memory/KeyValueTable.h"
#include "lacewingmux_keyvalue/memory/KeyValueWrite.h"
#include "lacewingmux_keyvalue/store/CompareAndSwapResult.h"
#include "lacewingmux_keyvalue/store/KeyRange.h"
#include "lacewingmux_keyvalue/store/PlatformStore.h"
#include "lacewingmux_keyvalue/store/StoreRecord.h"
#include "lacewingmux_keyvalue/update/RecordUpdate.h"
