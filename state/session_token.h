#ifndef TANAGERSPAN_STATE_SESSION_TOKEN_H
#define TANAGERSPAN_STATE_SESSION_TOKEN_H

// The session token: session state that a caller passes from proxy to proxy.
//
// Proxies store no session state, and a session may use several proxies. The
// caller therefore sends the state with each request: for each service, the
// highest confirmed log position that the session wrote or read. A read at or
// after this position returns the session's own writes and never an older
// state than an earlier read.
//
// Invariants: a token has only positions that a majority had confirmed when
// it was issued; merging takes the higher position; the text form has a
// version, a size limit and a signature with the fleet's key, so that a
// truncated or modified token is rejected and never accepted as an older one.
//
//   session_token t;
//   t.observe("orders", {.term_ = 3, .index_ = 40});
//   std::string text = t.to_text(key);
//   result<session_token> back = session_token::from_text(text, key);

#include <map>
#include <string>
#include <string_view>

#include "state/failure.h"
#include "state/log_position.h"

namespace tanagerspan
{

class session_token
{
public:
    /// The maximum number of services in one session.
    static constexpr std::size_t max_services = 32;
    /// The maximum size of the text form.
    static constexpr std::size_t max_text_bytes = 8192;

    /// Raises the position at `service` to `position`; never lowers it.
    void observe(std::string_view service, log_position position);

    /// Returns the lowest position that a read at `service` must include; zero
    /// if the session has not used the service.
    log_position position_at(std::string_view service) const;

    /// Returns true if no further service fits.
    bool full() const
    {
        return positions_.size() >= max_services;
    }

    /// Returns the text form, signed with `key`.
    std::string to_text(std::string_view key) const;

    /// Parses and verifies the text form; an empty text is a new session.
    /// Errors: too_large, malformed, bad_version, bad_signature.
    static result<session_token> from_text(std::string_view text,
                                           std::string_view key);

    bool operator==(const session_token&) const = default;

private:
    std::map<std::string, log_position, std::less<>> positions_;
};

} // namespace tanagerspan

#endif
