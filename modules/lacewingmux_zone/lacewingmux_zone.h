#pragma once

/*
 * Module lacewingmux_zone
 *
 * Membership of an availability zone, the zone view with its epoch, the placement of slots on
 * VMs, and the replication of each slot's journal from its owner to its backup.
 *
 * Depends on: lacewingmux_core, lacewingmux_keyvalue, lacewingmux_peer.
 */

#include "lacewingmux_zone/journal/AggregateRecord.h"
#include "lacewingmux_zone/journal/InMemoryJournal.h"
#include "lacewingmux_zone/journal/Journal.h"
#include "lacewingmux_zone/journal/RecordMap.h"
#include "lacewingmux_zone/membership/ZoneMembership.h"
#include "lacewingmux_zone/replication/JournalSettings.h"
#include "lacewingmux_zone/replication/ReplicatedJournal.h"
#include "lacewingmux_zone/views/FleetViews.h"
#include "lacewingmux_zone/views/SlotPlacement.h"
#include "lacewingmux_zone/views/ViewHistory.h"
#include "lacewingmux_zone/views/ZoneView.h"
