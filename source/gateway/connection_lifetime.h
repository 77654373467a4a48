#pragma once

#include "gateway/graceful_shutdown.h"

namespace knapweed::gateway {

/** Decides which requests of one caller's connection are taken, and which answer closes it.

    A request that follows a closing answer counts as not read: its caller sends it again on another
    connection. So none is taken once an answer has announced the close. During a shutdown, none is taken
    either while an answer that can still announce the close is due. Otherwise a caller that always has a
    further request on the way would keep the connection open until the exit.
*/
class connection_lifetime {
public:
    /** @param shutdown of the process; must outlive this object. */
    explicit connection_lifetime(const graceful_shutdown& shutdown) : shutdown_(shutdown) {}

    /** @returns whether a further request is taken. Once false while requests are unanswered, the answer to
        the last of them closes the connection. */
    [[nodiscard]] bool takes_requests() const
    {
        return !ends_ && !last_taken_ && !(shutdown_.begun() && undecided_ > 0);
    }
    /** Records a request that is taken. @param keep_alive whether its caller wants to go on. */
    void request_taken(bool keep_alive)
    {
        ++undecided_;
        last_taken_ = !keep_alive;
    }
    /** Decides, before the head of the next answer is written, whether this answer closes the connection. */
    [[nodiscard]] bool next_answer_closes()
    {
        --undecided_;
        ends_ = undecided_ == 0 && (last_taken_ || shutdown_.begun());
        return ends_;
    }
    /** Records that the connection ends for another reason. */
    void end() { ends_ = true; }

private:
    const graceful_shutdown& shutdown_;
    std::size_t undecided_ = 0; ///< requests taken of whose answers no head has been written
    bool last_taken_ = false;   ///< a caller has asked to close the connection after its request
    bool ends_ = false;
};

} // namespace knapweed::gateway
