#pragma once

/** Module replication: how the content of a table of the store is passed on from instance to instance. It
   does no I/O and doesn't know the store: rows are bytes with a key and a version. */

#include "replication/byte_delta.h"
#include "replication/packed_bytes.h"
#include "replication/row_archive.h"
#include "replication/table_transfer.h"
