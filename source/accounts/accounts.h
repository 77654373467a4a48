#pragma once

/** Module accounts: the client accounts of a configuration, their API keys and quotas. The module knows no
   servers, does no I/O and reads the time from a clock that is passed in. */

#include "accounts/account_table.h"
#include "accounts/client_account.h"
#include "accounts/quota_limiter.h"
