#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

namespace knapweed::gateway {

/** Decides which of the unanswered requests of one caller's connection may be passed on to a server.

    An answer that breaks off while it is written closes the connection, and servers run the requests behind
   it in vain. So no request is passed on behind one whose answer is written in parts, or behind one that
   isn't passed on itself. An answer that is written as a whole can't break off: the requests behind it run
   beside it.
*/
class pass_on_order {
public:
    using request_number = std::uint64_t;

    /** Adds the next request of the connection. */
    request_number add();
    /** @returns whether the request may be passed on now. */
    [[nodiscard]] bool may_pass_on(request_number request) const;
    /** Records that a request is passed on, or answered without a server. @param in_parts its answer is known
       to be written in parts. */
    void begin(request_number request, bool in_parts);
    /** Records that the answer to a request will be written in parts. */
    void expect_parts(request_number request);
    /** @returns whether requests behind this one have been passed on, so that its answer should be written as
       a whole. */
    [[nodiscard]] bool any_begun_behind(request_number request) const;
    /** Removes the first request, which has been answered. */
    void remove_first();

private:
    enum class stage { waiting, whole, in_parts };

    [[nodiscard]] std::size_t index_of(request_number request) const;

    std::deque<stage> stages_; ///< of the unanswered requests
    request_number first_ = 0; ///< number of the first of them
};

} // namespace knapweed::gateway
