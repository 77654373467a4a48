#pragma once

/** Module state: the state that is shared between instances and outlives a request, such as the membership
    and the configuration. It does no I/O: callers pass in events and carry out the resulting actions. */

#include "state/configuration_history.h"
#include "state/configuration_json.h"
#include "state/configuration_publisher.h"
#include "state/configuration_rows.h"
#include "state/configuration_rules.h"
#include "state/configuration_snapshot.h"
#include "state/configuration_store.h"
#include "state/endpoint_directory.h"
#include "state/lease.h"
#include "state/membership.h"
#include "state/placement.h"
#include "state/platform.h"
#include "state/platform_client.h"
#include "state/shift_limiter.h"
