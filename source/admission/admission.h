#pragma once

/** Module admission: which requests get the room that a service has when there is too little for all. The module
   knows what callers still gain from an answer, but no servers and no sockets. */

#include "admission/timeliness.h"
