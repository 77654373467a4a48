#pragma once

/** Module net: HTTP server and client, JSON-RPC, and the rings between threads. The module
    decision makes the steering decisions.

    The .cpp files that include Beast compile slowly; the headers listed here do not include it.
*/

#include "net/control_service.h"
#include "net/decision_loop.h"
#include "net/network_service.h"
#include "net/telemetry.h"
