#include "steering/server_notices.h"

namespace knapweed::steering {

void server_notices::record_answer(backend_server& server, const attempt_result& result)
{
    const bool is_news = result.leaving && leaving_.insert(process_hash(server.record())).second;
    if (is_news && on_leaving_)
        on_leaving_(server);
}

} // namespace knapweed::steering
