#pragma once

#include "steering/request_plan.h"

#include <set>

namespace knapweed::steering {

/** What servers state of their plans in their answers: that they have begun to leave.

    The statement holds for the process that made it: an answer without it, or an entry in the store, doesn't
    take it back.

    Owned by the steerer.
*/
class server_notices {
public:
    using notice_hook = std::function<void(const backend_server&)>;

    /** Records what the answer to an attempt states. */
    void record_answer(backend_server& server, const attempt_result& result);
    /** Calls @p hook whenever a server's answer states for the first time that its process leaves. */
    void on_leaving(notice_hook hook) { on_leaving_ = std::move(hook); }

private:
    notice_hook on_leaving_;
    std::set<std::uint32_t> leaving_; ///< processes whose statement was reported
};

} // namespace knapweed::steering
