#pragma once

/** Module operators: the command language, its execution on an instance, and the logic of knapweedctl. */

#include "operators/apply_command.h"
#include "operators/command.h"
#include "operators/command_service.h"
#include "operators/control_options.h"
#include "operators/control_session.h"
