#include "coordination/session_replay.h"

#include <algorithm>

namespace tanagerspan
{
namespace
{

// The limit of prepared statements on one connection to an endpoint. A
// connection that reaches it is cleared, and each statement is prepared again
// at its next use.
constexpr std::size_t max_prepared = 256;

bool must_clear(const session_state& session,
                const connection_state& connection)
{
    return std::any_of(connection.values_.begin(), connection.values_.end(),
                       [&](const auto& value)
                       {
                           return !session.values_.contains(value.first);
                       });
}

} // namespace

std::vector<statement> replay_statements(const session_state& session,
                                         const prepared_statement* shape,
                                         connection_state& connection)
{
    std::vector<statement> out;
    bool full = shape != nullptr &&
                connection.prepared_.size() >= max_prepared &&
                !connection.prepared_.contains(*shape);
    if (full || must_clear(session, connection))
    {
        out.push_back({.kind_ = statement_kind::discard});
        connection = {};
    }
    for (const auto& [name, value] : session.values_)
    {
        auto at = connection.values_.find(name);
        if (at != connection.values_.end() && at->second == value)
            continue;
        out.push_back({.kind_ = statement_kind::set_value,
                       .name_ = name,
                       .arguments_ = value});
        connection.values_[name] = value;
    }
    if (shape != nullptr && !connection.prepared_.contains(*shape))
    {
        std::string name = "p" + std::to_string(connection.prepared_.size());
        out.push_back({.kind_ = statement_kind::prepare,
                       .name_ = name,
                       .arguments_ = shape->shape_,
                       .writes_ = shape->writes_});
        connection.prepared_[*shape] = name;
    }
    return out;
}

std::size_t replay_cost(const session_state& session,
                        const connection_state& connection)
{
    std::size_t differing = 0;
    for (const auto& [name, value] : session.values_)
    {
        auto at = connection.values_.find(name);
        differing +=
            at == connection.values_.end() || at->second != value ? 1 : 0;
    }
    // The cost of clearing, in statements: clearing also removes the prepared
    // statements, which must then be prepared again.
    constexpr std::size_t clearing = 8;
    return differing + (must_clear(session, connection) ? clearing : 0);
}

} // namespace tanagerspan
