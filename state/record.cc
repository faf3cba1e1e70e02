#include "state/record.h"

namespace tanagerspan
{

namespace
{

// Documents that are nested deeper are rejected before parsing, so that a
// hostile request cannot overflow the stack of a traffic thread.
constexpr int max_nesting_depth = 32;

bool is_nested_too_deep(std::string_view text)
{
    int depth = 0;
    bool in_string = false;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        char c = text[at];
        if (c == '"')
            in_string = !in_string;
        if (in_string)
        {
            // Skips an escaped character, which may be a quote.
            at += c == '\\' ? 1 : 0;
            continue;
        }
        if (c == '[' || c == '{')
            ++depth;
        if (c == ']' || c == '}')
            --depth;
        if (depth > max_nesting_depth)
            return true;
    }
    return false;
}

} // namespace

result<nlohmann::json> parse_json(std::string_view text, bool comments)
{
    if (is_nested_too_deep(text))
        return fail(error_code::malformed, "(top): nested too deeply");
    auto parsed = nlohmann::json::parse(text, nullptr, false, comments);
    if (parsed.is_discarded())
        return fail(error_code::malformed, "(top): malformed JSON");
    return parsed;
}

} // namespace tanagerspan
