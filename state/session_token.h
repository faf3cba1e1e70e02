#ifndef TANAGERSPAN_STATE_SESSION_TOKEN_H
#define TANAGERSPAN_STATE_SESSION_TOKEN_H

// The session token: what a caller carries between proxies.
//
// Hosts keep nothing and sessions roam, so the session's state travels with
// the caller: for each service, the highest confirmed log position that the
// session wrote or saw. A read that covers the token's position shows the
// session its own writes and never runs backwards.
//
// Invariants: a token only ever holds positions that a majority had confirmed
// when it was issued; merging takes the higher position; the text form is
// versioned, bounded and signed with the fleet's key, so a token that was cut
// short or edited is refused by type and not read as an older one.
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
    /// The most services that one session may touch.
    static constexpr std::size_t max_services = 32;
    /// The longest text form, in bytes.
    static constexpr std::size_t max_text_bytes = 8192;

    /// Raises the position seen at `service`; never lowers it.
    void observe(std::string_view service, log_position position);

    /// The position to cover at `service`; zero when the session saw none.
    log_position position_at(std::string_view service) const;

    bool full() const
    {
        return positions_.size() >= max_services;
    }

    std::string to_text(std::string_view key) const;

    /// Errors: too_large, malformed, bad_version, bad_signature. An empty
    /// text is a new session.
    static result<session_token> from_text(std::string_view text,
                                           std::string_view key);

    bool operator==(const session_token&) const = default;

private:
    std::map<std::string, log_position, std::less<>> positions_;
};

} // namespace tanagerspan

#endif
