#include "protocol/peer_frame.h"

#include <msgpack.hpp>

namespace tanagerspan
{
namespace
{

using packer = msgpack::packer<msgpack::sbuffer>;

constexpr int max_nesting_depth = 32;

void pack(packer& out, const nlohmann::json& value)
{
    if (value.is_object())
    {
        out.pack_map(static_cast<std::uint32_t>(value.size()));
        for (const auto& [key, item] : value.items())
        {
            out.pack(key);
            pack(out, item);
        }
    }
    else if (value.is_array())
    {
        out.pack_array(static_cast<std::uint32_t>(value.size()));
        for (const auto& item : value)
            pack(out, item);
    }
    else if (value.is_string())
        out.pack(value.get_ref<const std::string&>());
    else if (value.is_boolean())
        out.pack(value.get<bool>());
    else if (value.is_number_unsigned())
        out.pack(value.get<std::uint64_t>());
    else if (value.is_number_integer())
        out.pack(value.get<std::int64_t>());
    else if (value.is_number_float())
        out.pack(value.get<double>());
    else
        out.pack_nil();
}

// Msgpack types that records do not use (binary, extensions) become null,
// which the decoder of no field accepts. Map entries whose key is not a string
// are dropped.
nlohmann::json unpack(const msgpack::object& value)
{
    switch (value.type)
    {
    case msgpack::type::BOOLEAN:
        return value.via.boolean;
    case msgpack::type::POSITIVE_INTEGER:
        return value.via.u64;
    case msgpack::type::NEGATIVE_INTEGER:
        return value.via.i64;
    case msgpack::type::FLOAT32:
    case msgpack::type::FLOAT64:
        return value.via.f64;
    case msgpack::type::STR:
        return std::string(value.via.str.ptr, value.via.str.size);
    case msgpack::type::ARRAY:
    {
        auto out = nlohmann::json::array();
        for (const auto& item :
             std::span(value.via.array.ptr, value.via.array.size))
            out.push_back(unpack(item));
        return out;
    }
    case msgpack::type::MAP:
    {
        auto out = nlohmann::json::object();
        for (const auto& item :
             std::span(value.via.map.ptr, value.via.map.size))
        {
            if (item.key.type == msgpack::type::STR)
                out[std::string(item.key.via.str.ptr, item.key.via.str.size)] =
                    unpack(item.val);
        }
        return out;
    }
    default:
        return nullptr;
    }
}

} // namespace

std::string encode_frame(const peer_frame& frame)
{
    msgpack::sbuffer payload;
    packer out(payload);
    out.pack_array(4);
    out.pack(peer_version);
    out.pack(static_cast<std::uint8_t>(frame.type_));
    out.pack(frame.correlation_id_);
    pack(out, frame.body_);

    auto size = static_cast<std::uint32_t>(payload.size());
    std::string bytes;
    bytes.reserve(frame_header_bytes + size);
    for (int shift = 24; shift >= 0; shift -= 8)
        bytes.push_back(static_cast<char>((size >> shift) & 0xff));
    bytes.append(payload.data(), payload.size());
    return bytes;
}

result<std::size_t> decode_length(std::span<const char> header)
{
    if (header.size() < frame_header_bytes)
        return fail(error_code::malformed, "frame: truncated header");
    std::size_t size = 0;
    for (std::size_t i = 0; i < frame_header_bytes; ++i)
        size = size << 8 | static_cast<unsigned char>(header[i]);
    if (size > max_frame_bytes)
        return fail(error_code::too_large, "frame: " + std::to_string(size) +
                                               " bytes, allowed " +
                                               std::to_string(max_frame_bytes));
    if (size == 0)
        return fail(error_code::malformed, "frame: empty");
    return size;
}

result<peer_frame> decode_payload(std::span<const char> payload)
{
    // The library throws on malformed input. The limits stop a hostile length
    // from allocating more elements than the frame has bytes.
    msgpack::object_handle handle;
    try
    {
        std::size_t consumed = 0;
        auto n = payload.size();
        msgpack::unpack_limit limits(n, n, n, n, n, max_nesting_depth);
        handle = msgpack::unpack(payload.data(), n, consumed, nullptr, nullptr,
                                 limits);
        if (consumed != n)
            return fail(error_code::malformed, "frame: trailing bytes");
    }
    catch (const std::exception& error)
    {
        return fail(error_code::malformed,
                    std::string("frame: ") + error.what());
    }
    auto message = unpack(handle.get());
    if (!message.is_array() || message.size() != 4 ||
        !message[0].is_number_unsigned() || !message[1].is_number_unsigned() ||
        !message[2].is_number_unsigned())
        return fail(error_code::malformed, "frame: not [version, type, id, "
                                           "body]");
    if (message[0].get<std::uint64_t>() != peer_version)
        return fail(error_code::bad_version,
                    "frame: version " + message[0].dump() + ", supported: 1");
    auto type = message[1].get<std::uint64_t>();
    if (type < 1 || type > last_frame_type)
        return fail(error_code::malformed,
                    "frame: unknown type " + message[1].dump());
    return peer_frame{.type_ = static_cast<frame_type>(type),
                      .correlation_id_ = message[2].get<std::uint64_t>(),
                      .body_ = std::move(message[3])};
}

result<std::optional<peer_frame>> extract_frame(input_buffer& buffer)
{
    if (buffer.size() < frame_header_bytes)
        return std::nullopt;
    auto size =
        decode_length(std::span(buffer.view().data(), frame_header_bytes));
    if (!size)
        return tl::unexpected(size.error());
    if (buffer.size() < frame_header_bytes + *size)
        return std::nullopt;
    auto frame = decode_payload(
        std::span(buffer.view().data() + frame_header_bytes, *size));
    if (!frame)
        return tl::unexpected(frame.error());
    buffer.consume(frame_header_bytes + *size);
    return std::move(*frame);
}

} // namespace tanagerspan
