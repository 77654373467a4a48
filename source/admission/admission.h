#pragma once

/** Module admission: which requests get room when a service has too little for all. It knows what callers
   still gain from an answer, but no servers and no sockets. */

#include "admission/timeliness.h"
