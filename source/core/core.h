#pragma once

/** Module core: identifiers, ranks, reasons, time, randomness and hashing. No I/O, no threads. */

#include "core/boot_clock.h"
#include "core/clock.h"
#include "core/ensure.h"
#include "core/hash.h"
#include "core/hex.h"
#include "core/identifiers.h"
#include "core/name_table.h"
#include "core/random_source.h"
#include "core/rank.h"
#include "core/reasons.h"
#include "core/simulated_clock.h"
#include "core/system_clock.h"
