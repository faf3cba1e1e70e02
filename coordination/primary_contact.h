#ifndef TANAGERSPAN_COORDINATION_PRIMARY_CONTACT_H
#define TANAGERSPAN_COORDINATION_PRIMARY_CONTACT_H

// Whether an endpoint may have been replaced as primary while a host had no
// contact with it.
//
// Other hosts may have ordered the promotion of another endpoint while this one
// was silent. The order is recorded before it is sent and may take effect many
// seconds later; what the old primary acknowledges until then is discarded. A
// host usually reads the record at once, but the store may be silent to it. So
// after an interruption that is long enough for a takeover, changes on the
// endpoint wait until the takeover rows have been read again.
//
//   contact.on_abandoned(waited_since); // a statement without an answer
//   contact.on_answer(waited_since, now);
//   if (!contact.is_confirmed()) ... read the rows, then
//   contact.on_rows_read(asked_at);
//
// A host that awaits nothing from the endpoint does not notice its silence.
//
// No I/O; the caller passes the time. Not thread safe.

#include <algorithm>
#include <cstdint>

#include "state/instant.h"

namespace tanagerspan
{

class primary_contact
{
public:
    struct options
    {
        /// No host orders a promotion after a shorter silence; see
        /// `takeover_trigger::options::silent_ms_`.
        std::int64_t max_silence_ms_ = 600;
    };

    explicit primary_contact(options opts) : options_(opts)
    {
    }

    /// A connection on which an answer was awaited since `waited_since` was
    /// closed.
    void on_abandoned(instant waited_since)
    {
        if (abandoned_since_ == never || waited_since < abandoned_since_)
            abandoned_since_ = waited_since;
    }

    /// The endpoint answered. `waited_since`: the earliest time since which an
    /// answer was awaited on any connection.
    void on_answer(instant waited_since, instant now)
    {
        if (abandoned_since_ != never)
            waited_since = std::min(waited_since, abandoned_since_);
        bool was_silent = now - std::max(waited_since, last_answer_) >=
                          options_.max_silence_ms_;
        if (was_silent || lost_)
            returned_at_ = now;
        last_answer_ = now;
        abandoned_since_ = never;
        lost_ = false;
    }

    /// The endpoint closed a connection or refused one.
    void on_lost()
    {
        lost_ = true;
    }

    /// The takeover rows were read by a call that was sent at `asked`.
    void on_rows_read(instant asked)
    {
        if (asked >= returned_at_)
            returned_at_ = never;
    }

    /// Whether a takeover that began in the last interruption would be known.
    bool is_confirmed() const
    {
        return returned_at_ == never;
    }

private:
    options options_;
    bool lost_ = false;
    instant last_answer_ = never;
    instant abandoned_since_ = never;
    instant returned_at_ = never; ///< the end of the last interruption
};

} // namespace tanagerspan

#endif
