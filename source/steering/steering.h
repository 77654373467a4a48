#pragma once

/** Module steering: chooses the backend server for each request of a caller. An instance sends requests
   directly to servers, except while its own paths to all servers are cut: then through another instance. The
   module does no I/O and starts no threads; it reads the time from a clock that is passed in. Its main class
   is `steerer`. */

#include "steering/arrival_rate.h"
#include "steering/backend_server.h"
#include "steering/cold_sender_selector.h"
#include "steering/cold_start_limiter.h"
#include "steering/distance_table.h"
#include "steering/failure_tracker.h"
#include "steering/instance_limits.h"
#include "steering/link_monitor.h"
#include "steering/lookup_choice.h"
#include "steering/occupancy_estimate.h"
#include "steering/peer_fanout.h"
#include "steering/peer_loads.h"
#include "steering/peer_table.h"
#include "steering/recent_objects.h"
#include "steering/region_plan.h"
#include "steering/region_planner.h"
#include "steering/relay_selector.h"
#include "steering/request_fingerprint.h"
#include "steering/request_plan.h"
#include "steering/request_relay.h"
#include "steering/retry_allowance.h"
#include "steering/route_table.h"
#include "steering/server_catalogue.h"
#include "steering/server_choice.h"
#include "steering/service_state.h"
#include "steering/share_selector.h"
#include "steering/speed_estimate.h"
#include "steering/steerer.h"
#include "steering/store_reader_role.h"
#include "steering/table_change.h"
#include "steering/traffic_policy.h"
