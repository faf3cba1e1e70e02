#ifndef TANAGERSPAN_STATE_RECORD_H
#define TANAGERSPAN_STATE_RECORD_H

// Conversion of record types to and from JSON by tables of member pointers.
//
// A record type declares the table of its fields in a free function
// `fields_of`, which is found by argument-dependent lookup. Encoding, checked
// decoding and the settings documentation all use this one table, so they
// stay consistent:
//
//   struct point { std::int64_t x_ = 0; };
//   constexpr auto fields_of(const point*)
//   {
//       return std::tuple{field{"x", &point::x_, {.min_ = 0}}};
//   }
//   nlohmann::json j = encode(point{.x_ = 3});
//   result<point> p = decode<point>(j);
//
// Decoding is strict: an unknown key, a missing required key, a wrong type or
// a value out of range is a failure whose detail has the path, the value found
// and the values allowed. Decoding never throws.

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <vector>

#include <nlohmann/json.hpp>

#include "state/failure.h"

namespace tanagerspan
{

/// Constraints and documentation of a field. `min_` and `max_` bound the value
/// of an integer and the length of a string, list or map.
struct field_rule
{
    std::int64_t min_ = std::numeric_limits<std::int64_t>::min();
    std::int64_t max_ = std::numeric_limits<std::int64_t>::max();
    bool required_ = false;
    std::string_view unit_{};
    std::string_view help_{};
};

/// One field of a record: its key, the member that holds it and its rule.
template <class Owner, class Value>
struct field
{
    std::string_view name_;
    Value Owner::*member_;
    field_rule rule_;

    constexpr field(std::string_view name, Value Owner::*member,
                    field_rule rule = {})
        : name_(name), member_(member), rule_(rule)
    {
    }
};

/// A type with a table of fields.
template <class T>
concept record = requires(const T* t)
{
    fields_of(t);
};

template <class T>
struct is_vector : std::false_type
{
};
template <class T>
struct is_vector<std::vector<T>> : std::true_type
{
};
template <class T>
struct is_string_map : std::false_type
{
};
template <class T>
struct is_string_map<std::map<std::string, T>> : std::true_type
{
};

/// Encodes a record, or a value that a field can hold. Enumerators are encoded
/// by `name_of`.
template <class T>
nlohmann::json encode(const T& value)
{
    if constexpr (record<T>)
    {
        nlohmann::json out = nlohmann::json::object();
        std::apply(
            [&](const auto&... f)
            {
                ((out[std::string(f.name_)] = encode(value.*f.member_)), ...);
            },
            fields_of(&value));
        return out;
    }
    else if constexpr (is_vector<T>::value)
    {
        nlohmann::json out = nlohmann::json::array();
        for (const auto& item : value)
            out.push_back(encode(item));
        return out;
    }
    else if constexpr (is_string_map<T>::value)
    {
        nlohmann::json out = nlohmann::json::object();
        for (const auto& [key, item] : value)
            out[key] = encode(item);
        return out;
    }
    else if constexpr (std::is_enum_v<T>)
    {
        return std::string(name_of(value));
    }
    else
    {
        return value;
    }
}

namespace detail
{

inline tl::unexpected<failure> decode_failure(error_code code,
                                              const std::string& path,
                                              const nlohmann::json& found,
                                              const std::string& allowed)
{
    std::string found_text =
        found.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    constexpr std::size_t max_shown_bytes = 60;
    if (found_text.size() > max_shown_bytes)
        found_text = found_text.substr(0, max_shown_bytes) + "...";
    return fail(code, (path.empty() ? "(top)" : path) + ": found " +
                          found_text + ", allowed: " + allowed);
}

/// Returns the path of an element: base + before + name + after.
inline std::string child_path(const std::string& base, std::string_view before,
                              std::string_view name,
                              std::string_view after = {})
{
    std::string out = base;
    out.append(before).append(name).append(after);
    return out;
}

inline bool in_range(std::int64_t n, const field_rule& rule)
{
    return n >= rule.min_ && n <= rule.max_;
}

inline std::string range_text(const field_rule& rule, std::string_view what)
{
    return std::string(what) + " from " + std::to_string(rule.min_) + " to " +
           std::to_string(rule.max_);
}

template <class T>
result<T> decode_at(const nlohmann::json& in, const std::string& path,
                    const field_rule& rule);

template <class T>
result<T> decode_integer(const nlohmann::json& in, const std::string& path,
                         const field_rule& rule)
{
    if (!in.is_number_integer())
        return decode_failure(error_code::malformed, path, in, "an integer");
    if constexpr (std::is_unsigned_v<T>)
    {
        if (!in.is_number_unsigned() && in.get<std::int64_t>() < 0)
            return decode_failure(error_code::out_of_range, path, in,
                                  "0 or more");
    }
    else if (in.is_number_unsigned() &&
             in.get<std::uint64_t>() >
                 std::uint64_t(std::numeric_limits<std::int64_t>::max()))
    {
        return decode_failure(error_code::out_of_range, path, in,
                              "a signed 64-bit integer");
    }
    auto value = in.get<T>();
    bool above_int64 =
        std::is_unsigned_v<T> && in.is_number_unsigned() &&
        in.get<std::uint64_t>() >
            std::uint64_t(std::numeric_limits<std::int64_t>::max());
    if (!above_int64 && !in_range(static_cast<std::int64_t>(value), rule))
    {
        return decode_failure(error_code::out_of_range, path, in,
                              range_text(rule, "a number"));
    }
    return value;
}

template <class T>
result<T> decode_container(const nlohmann::json& in, const std::string& path,
                           const field_rule& rule)
{
    constexpr bool list = is_vector<T>::value;
    if (list ? !in.is_array() : !in.is_object())
    {
        return decode_failure(error_code::malformed, path, in,
                              list ? "a list" : "an object");
    }
    if (!in_range(static_cast<std::int64_t>(in.size()), rule))
    {
        return decode_failure(error_code::out_of_range, path, in,
                              range_text(rule, "a size"));
    }
    T out;
    for (const auto& [key, item] : in.items())
    {
        if constexpr (list)
        {
            auto element = decode_at<typename T::value_type>(
                item, child_path(path, "[", key, "]"), {});
            if (!element)
                return tl::unexpected(element.error());
            out.push_back(std::move(*element));
        }
        else
        {
            auto element = decode_at<typename T::mapped_type>(
                item, child_path(path, ".", key), {});
            if (!element)
                return tl::unexpected(element.error());
            out[key] = std::move(*element);
        }
    }
    return out;
}

template <class T>
result<T> decode_record(const nlohmann::json& in, const std::string& path)
{
    if (!in.is_object())
        return decode_failure(error_code::malformed, path, in, "an object");
    T out;
    std::optional<failure> first_failure;
    std::size_t known_keys = 0;
    auto decode_field = [&](const auto& f)
    {
        if (first_failure)
            return;
        auto at = in.find(std::string(f.name_));
        std::string field_path = path + "." + std::string(f.name_);
        if (at == in.end())
        {
            if (f.rule_.required_)
                first_failure =
                    failure{error_code::malformed,
                            field_path + ": required key is missing"};
            return;
        }
        ++known_keys;
        using value = std::remove_cvref_t<decltype(out.*f.member_)>;
        auto decoded = decode_at<value>(*at, field_path, f.rule_);
        if (decoded)
            out.*f.member_ = std::move(*decoded);
        else
            first_failure = decoded.error();
    };
    auto table = fields_of(static_cast<const T*>(nullptr));
    std::apply(
        [&](const auto&... f)
        {
            (decode_field(f), ...);
        },
        table);
    if (first_failure)
        return tl::unexpected(*first_failure);
    if (known_keys == in.size())
        return out;
    for (auto at = in.begin(); at != in.end(); ++at)
    {
        auto has_name = [&at](const auto& f)
        {
            return f.name_ == at.key();
        };
        bool found = std::apply(
            [&has_name](const auto&... f)
            {
                return (has_name(f) || ...);
            },
            table);
        if (!found)
            return fail(error_code::unknown_key,
                        child_path(path, ".", at.key(), ": unknown key"));
    }
    return out;
}

template <class T>
result<T> decode_at(const nlohmann::json& in, const std::string& path,
                    const field_rule& rule)
{
    if constexpr (record<T>)
    {
        return decode_record<T>(in, path);
    }
    else if constexpr (is_vector<T>::value || is_string_map<T>::value)
    {
        return decode_container<T>(in, path, rule);
    }
    else if constexpr (std::is_same_v<T, bool>)
    {
        if (!in.is_boolean())
            return decode_failure(error_code::malformed, path, in,
                                  "true or false");
        return in.get<bool>();
    }
    else if constexpr (std::is_integral_v<T>)
    {
        return decode_integer<T>(in, path, rule);
    }
    else if constexpr (std::is_enum_v<T>)
    {
        T value{};
        if (!in.is_string() || !parse_name(in.get<std::string>(), value))
            return decode_failure(error_code::malformed, path, in,
                                  "one of " + std::string(all_names(value)));
        return value;
    }
    else if constexpr (std::is_same_v<T, nlohmann::json>)
    {
        return in;
    }
    else
    {
        static_assert(std::is_same_v<T, std::string>);
        if (!in.is_string())
            return decode_failure(error_code::malformed, path, in, "a string");
        auto text = in.get<std::string>();
        if (!in_range(static_cast<std::int64_t>(text.size()), rule))
        {
            return decode_failure(error_code::out_of_range, path, in,
                                  range_text(rule, "a length"));
        }
        return text;
    }
}

} // namespace detail

/// Decodes a record from parsed JSON. Errors: malformed, unknown_key,
/// out_of_range; the detail names the path.
template <class T>
result<T> decode(const nlohmann::json& in)
{
    return detail::decode_at<T>(in, "", {});
}

/// Parses JSON text without throwing; `comments` allows comments in it.
/// Errors: malformed, also for text that is nested too deep.
result<nlohmann::json> parse_json(std::string_view text, bool comments = false);

/// Parses and decodes a record. Errors: as parse_json and decode.
template <class T>
result<T> decode_text(std::string_view text, bool comments = false)
{
    auto parsed = parse_json(text, comments);
    if (!parsed)
        return tl::unexpected(parsed.error());
    return decode<T>(*parsed);
}

} // namespace tanagerspan

#endif
